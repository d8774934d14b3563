/** \file
 * Defines Coordinator, the state machine of a control member: it applies the
 * replicated commands on every member and, on the leader, serves callers,
 * operators and agents. It does no I/O: the host passes in events and the
 * current time and carries out what TakeOutput returns.
 */
#pragma once

#include "dogwooddrum/base/Ids.h"
#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/coordination/consensus/Raft.h"
#include "dogwooddrum/coordination/placement/Placer.h"
#include "dogwooddrum/coordination/workloads/WorkloadScheduler.h"
#include "dogwooddrum/protocol/Messages.h"
#include "dogwooddrum/protocol/WorkloadMessages.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace dogwooddrum::coordination::control {

/** Identifies one link to an entry or agent. A host never reuses an id. */
using SessionId = base::StrongType<struct SessionIdTag, std::uint64_t>;

/** Options of a Coordinator. */
struct CoordinatorOptions
{
  base::MemberId mSelf;
  std::uint64_t mSeed = 1; ///< for retry jitter
  base::Duration mTaskLease = base::Milliseconds(10000);
  double mClockDrift = 0.05;
  base::Duration mLeaseMargin = base::Milliseconds(500);
  base::Duration mAgentTimeout = base::Milliseconds(3000);
  base::Duration mCommandResend = base::Milliseconds(500);
  base::Duration mPrepareTimeout = base::Milliseconds(5000);
  base::Duration mAnswerRetention = std::chrono::hours(24);
  /** Time after the drop of a job for which its idempotency key stays known:
   * the same request joins the job, another request is refused. */
  base::Duration mKeyRetention = std::chrono::hours(24);
  base::Duration mWarmUp = base::Milliseconds(3000);
  std::uint32_t mMaxQueuedJobs = 50000;
  std::uint64_t mMaxStoredAnswerBytes = 512ULL << 20;
  placement::PlacerOptions mPlacer;
  workloads::WorkloadSchedulerOptions mWorkloads;
};

/** A message to one session. */
struct Outgoing
{
  SessionId mSession;
  std::variant<protocol::ClientReply,
               protocol::FreshnessReply,
               protocol::HeartbeatReply,
               protocol::TaskCommand,
               protocol::AnswerAck,
               protocol::NotLeader,
               protocol::WorkloadReply,
               protocol::WorkerOrders>
    mMessage;
};

/** An event for the log and the metrics. */
struct Notice
{
  enum class Kind : std::uint8_t
  {
    JobEnded,
    AttemptStarted,
    AttemptRetried,
    RequestRefused,
    WorkerUp,
    WorkerLost,
    WorkerQuarantined,
    ConfigurationChanged,
    ConfigurationConflict,
    Preempted,
    BecameLeader,
    SteppedDown,
  };
  Kind mKind = Kind::JobEnded;
  base::Reason mReason = base::Reason::None;
  base::ProfileId mProfile;   ///< of a job's notice
  base::Duration mDuration{}; ///< JobEnded: completion; AttemptStarted: wait
  std::string mText;
};

/** The actions that the host must carry out. */
struct Output
{
  std::vector<std::string> mProposals;             ///< Raft::Propose, in order
  std::vector<consensus::ReadId> mReads;           ///< Raft::ConfirmRead
  std::vector<consensus::Membership> mMemberships; ///< ProposeMembership
  std::vector<Outgoing> mMessages;
  std::vector<Notice> mNotices;
  std::vector<workloads::WorkloadEvent> mWorkloadEvents;
};

/**
 * State machine of one control member.
 * Thread safety: none; one thread owns the object.
 */
class Coordinator
{
public:
  explicit Coordinator(const CoordinatorOptions& aOptions);
  ~Coordinator();
  Coordinator(Coordinator&&) noexcept;
  Coordinator& operator=(Coordinator&&) noexcept;

  // Replicated state, on every member.

  /** Replaces the replicated state by that of a snapshot. Returns false and
   * changes nothing if the bytes are damaged. */
  bool Restore(const std::string& aState);
  /** Serializes the replicated state for a snapshot. */
  std::string SaveState() const;
  /** Applies a committed entry of any kind. Call in the order of the index. */
  void Apply(const consensus::LogEntry& aEntry, base::Time aNow);

  // Leadership.

  /** Starts leading. Call once the member is elected and has applied all
   * entries of earlier terms. */
  void BecomeLeader(base::Term aTerm, base::Time aNow);
  /** Stops leading. Pending requests are answered with NotLeader. */
  void StepDown(base::Time aNow);
  /** Sets the leader that redirects name; the id is 0 if unknown. */
  void SetLeader(base::MemberId aLeader, const std::string& aAddress);
  /** Sets the current membership, for status and changes. */
  void SetMembership(const consensus::Membership& aMembership);
  void OnReadConfirmed(consensus::ReadId aRead, base::Time aNow);
  void OnReadFailed(consensus::ReadId aRead, base::Time aNow);

  // Messages. A member that is not the leader replies NotLeader.

  void OnClientRequest(SessionId aSession,
                       const protocol::ClientRequest& aRequest,
                       base::Time aNow);
  void OnFreshnessPoll(SessionId aSession,
                       const protocol::FreshnessPoll& aPoll,
                       base::Time aNow);
  void OnAgentHeartbeat(SessionId aSession,
                        const protocol::AgentHeartbeat& aHeartbeat,
                        base::Time aNow);
  void OnTaskReport(SessionId aSession,
                    base::Incarnation aIncarnation,
                    const protocol::TaskReport& aReport,
                    base::Time aNow);
  void OnAnswerChunk(SessionId aSession,
                     const protocol::AnswerChunk& aChunk,
                     base::Time aNow);
  void OnWorkloadRequest(SessionId aSession,
                         const protocol::WorkloadRequest& aRequest,
                         base::Time aNow);
  void OnWorkerReport(SessionId aSession,
                      const protocol::WorkerReport& aReport,
                      base::Time aNow);
  void OnSessionClosed(SessionId aSession, base::Time aNow);

  /** Sets the difference, in ms, between Unix time and the times passed in. */
  void SetUnixOffset(std::int64_t aOffsetMs);
  /** Advances timers. Call at least every 20 ms. */
  void Tick(base::Time aNow);

  /** Returns and clears the output gathered since the last call. */
  Output TakeOutput();

  /** Returns the applied configuration. */
  const protocol::Configuration& Configuration() const;
  /** Returns the replicated workloads and the catalog. */
  const workloads::State& Workloads() const;
  /** Returns the leader's link address; empty if unknown. */
  const std::string& LeaderAddress() const;
  /** Returns the number of queued, starting and running jobs, for metrics. */
  std::uint64_t ActiveJobs() const;
  placement::FragmentationReport Fragmentation() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::coordination::control
