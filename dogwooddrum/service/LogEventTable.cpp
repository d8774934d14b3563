#include "dogwooddrum/service/LogEvents.h"

namespace dogwooddrum::service {

namespace {

std::vector<LogEventInfo>
ProcessEvents()
{
  return {
    { LogEvent::Started,
      LogLevel::Info,
      "started",
      "{role} {name} started, version {version}",
      "The settings are valid and the process runs.",
      "Nothing." },
    { LogEvent::Listening,
      LogLevel::Info,
      "listening",
      "listening for {protocol} on {address}",
      "A listener is open.",
      "Nothing." },
    { LogEvent::Ready,
      LogLevel::Info,
      "ready",
      "{role} {name} is ready",
      "/readyz succeeds from now on.",
      "Nothing." },
    { LogEvent::DrainStarted,
      LogLevel::Info,
      "drain_started",
      "draining, listeners close in {delay_ms} ms",
      "SIGTERM arrived; /readyz fails, service continues.",
      "Nothing." },
    { LogEvent::ListenersClosed,
      LogLevel::Info,
      "listeners_closed",
      "listeners closed, {requests} requests and {tasks} tasks in progress",
      "No new connection is accepted.",
      "Nothing." },
    { LogEvent::Stopped,
      LogLevel::Info,
      "stopped",
      "stopped after {duration_ms} ms",
      "The process exits with status 0.",
      "Nothing." },
    { LogEvent::ShutdownLimitReached,
      LogLevel::Warning,
      "shutdown_limit_reached",
      "shutdown limit of {limit_ms} ms reached, {tasks} tasks left",
      "Repeatable work was left to be retried elsewhere.",
      "Raise shutdown_limit_ms if this work should finish." },
    { LogEvent::StartRefused,
      LogLevel::Error,
      "start_refused",
      "refused to start: {message}",
      "The settings, a key file, the data folder or a port cannot be used.",
      "Correct what the message names and start again." },
    { LogEvent::Reloaded,
      LogLevel::Info,
      "reloaded",
      "settings read again from {file}",
      "SIGHUP arrived and the settings file is valid.",
      "Nothing." },
    { LogEvent::ReloadFailed,
      LogLevel::Warning,
      "reload_failed",
      "settings not applied: {message}",
      "SIGHUP arrived, but the settings file cannot be used; the earlier "
      "settings stay.",
      "Correct what the message names and send SIGHUP again." },
    { LogEvent::ControlAddresses,
      LogLevel::Info,
      "control_addresses",
      "addresses of the control group in the settings: {addresses}",
      "Logged at the start and at each reload; for a control member, the "
      "seeds.",
      "Check the addresses if the process does not find the group." },
  };
}

std::vector<LogEventInfo>
LinkEvents()
{
  return {
    { LogEvent::LinkUp,
      LogLevel::Info,
      "link_up",
      "link to {peer} is up",
      "The handshake with the peer succeeded.",
      "Nothing." },
    { LogEvent::LinkDown,
      LogLevel::Warning,
      "link_down",
      "link to {peer} is down: {reason}",
      "The link was closed, timed out or failed; it is replaced.",
      "If it repeats, check the network between the two processes." },
    { LogEvent::LinkRefused,
      LogLevel::Warning,
      "link_refused",
      "link from {peer} refused: {reason}",
      "The peer did not prove that it has the key, or uses another version.",
      "Compare the key files and versions of both processes." },
    { LogEvent::FrameRejected,
      LogLevel::Warning,
      "frame_rejected",
      "malformed frame from {peer}: {message}",
      "Bytes on the link were damaged or not of this protocol.",
      "If it repeats, check versions and the network." },
    { LogEvent::RequestRefused,
      LogLevel::Debug,
      "request_refused",
      "request refused: {reason}: {message}",
      "A caller or operator got a refusal.",
      "See docs/interface.md for the reason." },
    { LogEvent::ConfigurationStale,
      LogLevel::Warning,
      "configuration_stale",
      "configuration not confirmed for {age_ms} ms, refusing new work",
      "The leader did not answer polls; work is refused until it does.",
      "Check that a leader exists and that this process reaches it." },
    { LogEvent::ConfigurationFresh,
      LogLevel::Info,
      "configuration_fresh",
      "configuration {version} is current",
      "Polls are answered again.",
      "Nothing." },
    { LogEvent::NoRoute,
      LogLevel::Warning,
      "no_route",
      "no route to a leader for {for_ms} ms",
      "Repeated each second. The fields name each known control member "
      "with the state of its link, and the last redirect.",
      "Without an open link check the network; else see leader_unknown in"
      " the logs of the members." },
  };
}

std::vector<LogEventInfo>
ConsensusEvents()
{
  return {
    { LogEvent::LeaderElected,
      LogLevel::Info,
      "leader_elected",
      "member {member} leads term {term}",
      "This member was elected leader.",
      "Nothing." },
    { LogEvent::LeaderLost,
      LogLevel::Warning,
      "leader_lost",
      "member {member} no longer leads, term {term}: {reason}",
      "This member lost contact with a quorum or saw a newer term.",
      "If it repeats, check the links between the control members." },
    { LogEvent::LeadershipTransferred,
      LogLevel::Info,
      "leadership_transferred",
      "leadership transferred in term {term}",
      "This member transfers leadership before it stops.",
      "Nothing." },
    { LogEvent::MembershipChanged,
      LogLevel::Info,
      "membership_changed",
      "members are now {members}",
      "A membership change took effect.",
      "Check that it is the change that was requested." },
    { LogEvent::SnapshotWritten,
      LogLevel::Info,
      "snapshot_written",
      "snapshot up to index {index}, {bytes} bytes",
      "The log before the index was dropped.",
      "Nothing." },
    { LogEvent::SnapshotInstalled,
      LogLevel::Info,
      "snapshot_installed",
      "snapshot up to index {index} installed",
      "This member was behind the leader's log.",
      "Nothing." },
    { LogEvent::LogRecovered,
      LogLevel::Info,
      "log_recovered",
      "log recovered up to index {index}, term {term}",
      "The data folder was read at the start.",
      "Nothing." },
    { LogEvent::TornTailTruncated,
      LogLevel::Warning,
      "torn_tail_truncated",
      "torn record at the end of {file}, offset {offset}, truncated",
      "A crash interrupted a write that was not acknowledged.",
      "Nothing." },
    { LogEvent::LogCorrupt,
      LogLevel::Error,
      "log_corrupt",
      "corrupt record in {file} at offset {offset}",
      "Durable data was damaged; the member refuses to start.",
      "Replace the member, see docs/OPERATIONS.md." },
    { LogEvent::StorageFailed,
      LogLevel::Error,
      "storage_failed",
      "storage failed: {message}",
      "A write or sync failed, or the data folder could not be opened again "
      "after that; the member does not vote or acknowledge meanwhile.",
      "Repair the disk or free space; the member goes on by itself." },
    { LogEvent::SyncSlow,
      LogLevel::Warning,
      "sync_slow",
      "log sync took {duration_ms} ms",
      "The disk is slow; every commit waits for it.",
      "Check the disk and what else uses it." },
    { LogEvent::LeaderUnknown,
      LogLevel::Warning,
      "leader_unknown",
      "member {member} has known no leader for {for_ms} ms: {role} of "
      "term {term}",
      "Repeated each second. The fields name the end of the log, the "
      "membership, and for each other voter its link, the age of its "
      "newest message and its answer to the newest vote request.",
      "Without links check the network; for refused votes see "
      "vote_refused in the logs of the other members." },
    { LogEvent::VoteRefused,
      LogLevel::Info,
      "vote_refused",
      "{kind} for member {candidate} in term {term} refused: {reason}",
      "At most once a second for each candidate. For hears_leader no "
      "answer is sent.",
      "If it repeats for hears_leader, check the link from the leader to "
      "the candidate." },
    { LogEvent::RepairProposed,
      LogLevel::Info,
      "repair_proposed",
      "membership change proposed: {change}",
      "The leader replaces a lost member or adds one.",
      "Check a removed member that was not expected to fail." },
    { LogEvent::JoinNotServed,
      LogLevel::Warning,
      "join_not_served",
      "join requests not served: {requests}",
      "Repeated each second while a process has asked for more than a "
      "second. The reason follows each request.",
      "See the reason." },
    { LogEvent::SeekingGroup,
      LogLevel::Warning,
      "seeking_group",
      "member {member} seeks its group: {links}",
      "The process is not a voter or has known no leader for 4 s. "
      "Repeated each second, but only on changes if the members that "
      "answer need no further voter.",
      "Without open links check the addresses and the network; else see "
      "join_not_served in the log of the leader." },
    { LogEvent::StorageReopened,
      LogLevel::Info,
      "storage_reopened",
      "data folder {folder} was opened again after a storage error",
      "The member has recovered its log and votes again.",
      "If it repeats, the disk still fails, see storage_failed." },
    { LogEvent::MemberLeft,
      LogLevel::Info,
      "member_left",
      "this member ends; the leader answered {answer} after {waited_ms} ms",
      "removed: a successor has its vote, or it had none. kept: no successor "
      "waited; it votes again after a restart. wait or none: the time for an "
      "answer was over.",
      "For wait or none, see repair_proposed in the log of the leader before "
      "another member is stopped." },
  };
}

std::vector<LogEventInfo>
JobEvents()
{
  return {
    { LogEvent::JobEnded,
      LogLevel::Debug,
      "job_ended",
      "job ended: {reason}: {message}",
      "A job finished, failed or was cancelled.",
      "For a failure see docs/interface.md for the reason." },
    { LogEvent::AttemptStarted,
      LogLevel::Debug,
      "attempt_started",
      "attempt started after {wait_ms} ms: {message}",
      "An attempt was committed and is sent to its agents.",
      "Nothing." },
    { LogEvent::AttemptRetried,
      LogLevel::Info,
      "attempt_retried",
      "attempt retried: {reason}: {message}",
      "A repeatable job starts again.",
      "If it repeats, check the worker." },
    { LogEvent::JobPreempted,
      LogLevel::Info,
      "job_preempted",
      "job preempted: {message}",
      "Borrowed capacity was reclaimed for its owner.",
      "Nothing." },
    { LogEvent::ConfigurationChanged,
      LogLevel::Info,
      "configuration_changed",
      "configuration is now {version}: {message}",
      "A change was accepted and is sent to all processes.",
      "Nothing." },
    { LogEvent::ConfigurationConflict,
      LogLevel::Info,
      "configuration_conflict",
      "configuration change refused: {message}",
      "Another change came first, or the guarantees do not fit.",
      "Read the configuration again and repeat the change if still wanted." },
  };
}

std::vector<LogEventInfo>
WorkerEvents()
{
  return {
    { LogEvent::WorkerUp,
      LogLevel::Info,
      "worker_up",
      "worker {worker} announced itself",
      "An agent's heartbeats arrive; the worker can get work.",
      "Nothing." },
    { LogEvent::WorkerLost,
      LogLevel::Warning,
      "worker_lost",
      "worker {worker} lost",
      "Heartbeats of the agent stopped.",
      "Check the VM and its agent." },
    { LogEvent::WorkerQuarantined,
      LogLevel::Warning,
      "worker_quarantined",
      "worker {worker} quarantined: {message}",
      "Starts of different jobs failed in a row; the worker is probed later.",
      "Check the target on the worker." },
    { LogEvent::LeaseEnded,
      LogLevel::Warning,
      "lease_ended",
      "lease of task {task} ended, the task is stopped",
      "The lease could not be renewed in time.",
      "Check the link between the agent and control." },
    { LogEvent::TargetUnreachable,
      LogLevel::Warning,
      "target_unreachable",
      "target {address} cannot be reached: {message}",
      "A connection to the target failed.",
      "Check the target process." },
    { LogEvent::TaskFailed,
      LogLevel::Info,
      "task_failed",
      "task {task} failed: {reason}: {message}",
      "The target reported an error or the connection broke.",
      "If it repeats, check the target." },
    { LogEvent::TaskRefused,
      LogLevel::Info,
      "task_refused",
      "task {task} refused: {reason}",
      "The agent did not start the task; it was not run.",
      "Nothing; control places it again." },
    { LogEvent::AgentResumed,
      LogLevel::Warning,
      "agent_resumed",
      "process did not run for {duration_ms} ms",
      "The process or its VM was frozen; tasks whose leases ended are stopped "
      "first.",
      "Check the VM if it was not frozen on purpose." },
    { LogEvent::TargetAnnounced,
      LogLevel::Info,
      "target_announced",
      "target {target} at {address} is {state}",
      "A target announced its start, its restart, or that it leaves.",
      "Nothing." },
    { LogEvent::TargetMessageRejected,
      LogLevel::Warning,
      "target_message_rejected",
      "target message rejected: {message}",
      "A message at the announce address cannot be decoded and is ignored.",
      "Find its sender if it repeats." },
    { LogEvent::OrderSent,
      LogLevel::Info,
      "order_sent",
      "{order} of {task} run {run}: {result}",
      "The target has answered an order.",
      "Nothing." },
    { LogEvent::OrderFailed,
      LogLevel::Warning,
      "order_failed",
      "{order} of {task} run {run}: {result} {message}",
      "The target did not accept an order; the order is sent again or "
      "abandoned.",
      "Check the target if it repeats." },
    { LogEvent::ListingFailed,
      LogLevel::Warning,
      "listing_failed",
      "runs not listed: {message}",
      "A lease renewal failed; it is repeated.",
      "Check the target if it repeats." },
    { LogEvent::IncarnationEnded,
      LogLevel::Info,
      "incarnation_ended",
      "target {target} started at {start_ms} has ended: {message} with "
      "sequence {sequence}",
      "A message of the target ended this incarnation at the agent; gone "
      "has no sequence. The field next names the present incarnation.",
      "Nothing." },
    { LogEvent::AnnouncementDropped,
      LogLevel::Info,
      "announcement_dropped",
      "{message} of target {target} with sequence {sequence} dropped: "
      "{reason}",
      "A message of a target was outdated and is ignored. At most once a "
      "second.",
      "Nothing." },
  };
}

std::vector<LogEventInfo>
WorkloadEvents()
{
  return {
    { LogEvent::WorkloadAccepted,
      LogLevel::Info,
      "workload_accepted",
      "workload {workload} accepted on {queue}",
      "A workload is stored on a quorum.",
      "Nothing." },
    { LogEvent::WorkloadRejected,
      LogLevel::Info,
      "workload_rejected",
      "workload {workload} rejected: {reason}",
      "The leader refused a workload and stored nothing.",
      "See the reason." },
    { LogEvent::WorkloadCancelled,
      LogLevel::Info,
      "workload_cancelled",
      "workload {workload} cancelled",
      "Its runs are being stopped.",
      "Nothing." },
    { LogEvent::RunStarted,
      LogLevel::Info,
      "run_started",
      "task {task} run {run} starts at {target} after {waited_ms} ms",
      "Placement chose a worker; the start is being stored.",
      "Nothing." },
    { LogEvent::RunStopped,
      LogLevel::Info,
      "run_stopped",
      "task {task} run {run} at {target} is stopped: {reason}, at {percent}%",
      "The run's capacity is needed, or its workload has ended.",
      "Nothing." },
    { LogEvent::RunEnded,
      LogLevel::Info,
      "run_ended",
      "task {task} run {run} at {target} ended: {end}",
      "The run has ended; its end is being stored. The field proof tells how "
      "the leader knows it, agent, agent_incarnation and report_sequence name "
      "the report that carried it.",
      "For failed ends see the target." },
    { LogEvent::WorkloadEnded,
      LogLevel::Info,
      "workload_ended",
      "workload {workload} is {phase} after {age_ms} ms",
      "All of its tasks have ended. For failed, reason names the task.",
      "Nothing." },
    { LogEvent::WorkerJoined,
      LogLevel::Info,
      "worker_joined",
      "target {target} of {agent} accepts work for {pool} on rack {rack}",
      "A target was reported to this leader.",
      "Nothing." },
    { LogEvent::WorkerLeft,
      LogLevel::Info,
      "worker_left",
      "target {target} of {agent} is gone",
      "This instance of the target has ended; its runs are placed elsewhere.",
      "Nothing." },
    { LogEvent::WorkerLeaseEnded,
      LogLevel::Warning,
      "worker_lease_ended",
      "no report of target {target} from {agent}; its leases have ended",
      "The agent or its VM is unreachable or down.",
      "Check the VM if it does not come back." },
    { LogEvent::WorkerSuspected,
      LogLevel::Warning,
      "worker_suspected",
      "target {target} failed {failures} runs in a row",
      "Other workers are preferred for some seconds.",
      "Check the target if it repeats." },
    { LogEvent::CatalogAdopted,
      LogLevel::Info,
      "catalog_adopted",
      "catalog version {version} is in force; {removed_queues} queues that it "
      "does not have still have work",
      "The operator's document was stored on a quorum. The accepted work of a "
      "removed queue goes on as that was last defined.",
      "Nothing. To let callers read or cancel such work, define a queue with "
      "the same host and path prefix again." },
    { LogEvent::CallAnswered,
      LogLevel::Info,
      "call_answered",
      "{method} {workload} on {queue}: {status} {reason}",
      "An entry answered a caller.",
      "For refusals see the reason, and the workload's id in the leader's "
      "log." },
    { LogEvent::CatalogReceived,
      LogLevel::Info,
      "catalog_received",
      "catalog version {version} received",
      "This entry routes by the new version.",
      "Nothing." },
    { LogEvent::OperatorAnswered,
      LogLevel::Info,
      "operator_answered",
      "{call} of catalog {version}: {status} {reason} after {waited_ms} ms",
      "A control member answered an operator.",
      "redirected names the leader; for invalid see the response; for "
      "no_leader see leader_unknown." },
    { LogEvent::QueueHeadWaited,
      LogLevel::Info,
      "queue_head_waited",
      "task {task} was first of priority {priority} in {pool} for {waited_ms} "
      "ms without resources",
      "The first waiting task or gang of a priority has started, or another is "
      "first now. The other fields divide the wait by what was missing: "
      "resources in all, resources on enough workers (fragmentation), a rack "
      "(locality), or resources other than those kept for urgent work "
      "(headroom). Logged for waits of a second or more.",
      "Nothing; see queue_head_overdue." },
    { LogEvent::QueueHeadOverdue,
      LogLevel::Warning,
      "queue_head_overdue",
      "task {task} is first of priority {priority} in {pool} and can no longer "
      "meet its objective: {cause}",
      "The first waiting task or gang of a priority has not started by the "
      "latest time that meets the objective of its queue, and has been first "
      "for "
      "a second. Logged once for each of them.",
      "If it repeats for one priority, the pool is too small for its work, or "
      "other work keeps the resources from it; compare the runs of that "
      "time." },
    { LogEvent::TargetCrashed,
      LogLevel::Warning,
      "target_crashed",
      "target {target} of {agent} crashed during {runs} runs, the first of "
      "task {first}",
      "The target ended without announcing so while its agent ran on. The "
      "crash "
      "counts against the tasks that ran there: after one, a task runs beside "
      "no other such task, after two alone, and after three its workload has "
      "failed.",
      "Check the target; if one workload's tasks are always among the runs, "
      "check that workload." },
    { LogEvent::ZoneEvacuated,
      LogLevel::Info,
      "zone_evacuated",
      "availability zone {zone} is evacuated, with {runs} runs on its targets; "
      "{evacuated_zones} zones are evacuated",
      "The evacuation is committed: no leader starts anything there until it "
      "is withdrawn. Runs that are at work end by themselves; those whose "
      "targets have not listed them are stopped and start elsewhere. Logged by "
      "the leader for each request, also if the zone was evacuated before.",
      "Nothing. Work that has no other place waits; watch queue_head_waited." },
    { LogEvent::ZoneRestored,
      LogLevel::Info,
      "zone_restored",
      "availability zone {zone} is in use again; {evacuated_zones} zones are "
      "evacuated",
      "The withdrawal of an evacuation is committed. Logged by the leader for "
      "each request, also if the zone was not evacuated.",
      "Nothing." },
    { LogEvent::TargetQuarantined,
      LogLevel::Warning,
      "target_quarantined",
      "runs of several workloads failed at target {target}",
      "The target gets one task at a time, as a probe, until a run there ends "
      "as "
      "done or none has failed for some seconds.",
      "Check the target. Nothing if many targets of its pool are named: then "
      "the "
      "work is the likely cause, and none is kept from work." },
  };
}

} // namespace

const std::vector<LogEventInfo>&
LogEventTable()
{
  static const std::vector<LogEventInfo> table = [] {
    std::vector<LogEventInfo> all;
    for (const auto& part : { ProcessEvents(),
                              LinkEvents(),
                              ConsensusEvents(),
                              JobEvents(),
                              WorkerEvents(),
                              WorkloadEvents() }) {
      all.insert(all.end(), part.begin(), part.end());
    }
    return all;
  }();
  return table;
}

} // namespace dogwooddrum::service
