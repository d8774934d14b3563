#include "dogwooddrum/coordination/control/Requests.h"

#include <nlohmann/json.hpp>

namespace dogwooddrum::coordination::control {

namespace {

using Json = nlohmann::json;

/** Largest number of waiting jobs in the status; "count" covers all. */
constexpr std::size_t kMaxListedWaitingJobs = 200;
/** Largest number of workers in the status; "worker_count" covers all. */
constexpr std::size_t kMaxListedWorkers = 2000;

const char*
ToString(jobs::LeasePhase aPhase)
{
  switch (aPhase) {
    case jobs::LeasePhase::Granted:
      return "granted";
    case jobs::LeasePhase::Prepared:
      return "prepared";
    case jobs::LeasePhase::Running:
      return "running";
    case jobs::LeasePhase::Finished:
      return "finished";
    case jobs::LeasePhase::Fenced:
      return "fenced";
    default:
      return "expired";
  }
}

Json
MembersJson(const CoordinatorCore& aCore)
{
  Json members = Json::array();
  for (const consensus::Member& member : aCore.mMembership.mMembers) {
    members.push_back({ { "id", member.mId.Value() },
                        { "address", member.mAddress },
                        { "voter", member.mVoter },
                        { "leader", member.mId == aCore.mOptions.mSelf } });
  }
  return members;
}

/** Lists the tasks that hold accelerators of an agent's worker. */
Json
HoldersJson(CoordinatorCore& aCore, const AgentRecord& aAgent)
{
  Json holders = Json::array();
  for (const protocol::TaskKey& key : aAgent.mTasks) {
    const LiveAttempt* attempt = FindAttempt(aCore, key.mJob, key.mAttempt);
    const jobs::JobRecord* job = aCore.mState.Find(key.mJob);
    if (attempt == nullptr || job == nullptr) {
      continue;
    }
    const LiveTask& task = attempt->mTasks[key.mTask.Value()];
    if (jobs::IsVacant(task.mPhase)) {
      continue;
    }
    holders.push_back(
      { { "job", key.mJob.Value() },
        { "attempt", key.mAttempt.Value() },
        { "task", key.mTask.Value() },
        { "account", job->mSpec.mAccount.Value() },
        { "accelerators", task.mAssignment.mAccelerators },
        { "borrowed", job->mAttempt && job->mAttempt->mBorrowed },
        { "state", ToString(task.mPhase) },
        { "stopping", attempt->mStopping } });
  }
  return holders;
}

Json
WorkersJson(CoordinatorCore& aCore)
{
  Json workers = Json::array();
  for (const auto& [worker, incarnation] : aCore.mCurrentAgents) {
    const AgentRecord* agent = FindAgent(aCore, incarnation);
    if (agent == nullptr || workers.size() >= kMaxListedWorkers) {
      continue;
    }
    workers.push_back(
      { { "worker", worker.Value() },
        { "rack", agent->mWorkerInfo.mRack.Value() },
        { "zone", agent->mWorkerInfo.mZone.Value() },
        { "accelerators", agent->mWorkerInfo.mAccelerators },
        { "free", aCore.mPlacer.FreeOn(worker) },
        { "busy", agent->mBusyAccelerators },
        { "up", agent->mUp },
        { "leaving", agent->mLeaving },
        { "silent_ms",
          base::ToMilliseconds(aCore.mNow - agent->mLastHeartbeatAt) },
        { "holders", HoldersJson(aCore, *agent) } });
  }
  return workers;
}

Json
WaitJson(CoordinatorCore& aCore, const jobs::JobRecord& aJob)
{
  const auto wait = aCore.mPlacer.Explain(aJob.mJob, aCore.mNow);
  const std::uint64_t now = ReplicatedClockMs(aCore, aCore.mNow);
  const bool backoff = aJob.mNotBeforeMs > now;
  return { { "reason",
             backoff ? std::string("backoff")
                     : std::string(base::ToString(wait.mReason)) },
           { "message",
             backoff ? "next attempt in " +
                         std::to_string(aJob.mNotBeforeMs - now) + " ms"
                     : wait.mMessage } };
}

Json
QueueJson(CoordinatorCore& aCore)
{
  Json waiting = Json::array();
  std::size_t count = 0;
  for (const auto& [id, job] : aCore.mState.Jobs()) {
    if (job.mPhase != jobs::JobPhase::Queued) {
      continue;
    }
    if (++count > kMaxListedWaitingJobs) {
      continue;
    }
    waiting.push_back({ { "job", id.Value() },
                        { "account", job.mSpec.mAccount.Value() },
                        { "profile", job.mSpec.mProfile.Value() },
                        { "wait", WaitJson(aCore, job) } });
  }
  return { { "count", count }, { "first", waiting } };
}

} // namespace

std::string
StatusJson(CoordinatorCore& aCore)
{
  const auto fragmentation = aCore.mPlacer.Fragmentation();
  const Json status = {
    { "term", aCore.mTerm.Value() },
    { "configuration_version", aCore.mState.Configuration().mVersion.Value() },
    { "warm", aCore.mWarmedUp },
    { "members", MembersJson(aCore) },
    { "worker_count", aCore.mCurrentAgents.size() },
    { "workers", WorkersJson(aCore) },
    { "active_jobs", aCore.mState.ActiveJobs() },
    { "queue", QueueJson(aCore) },
    { "answer_bytes", aCore.mState.AnswerBytes() },
    { "accelerators",
      { { "free", fragmentation.mFree },
        { "total", fragmentation.mTotal },
        { "unusable_share", fragmentation.mUnusableShare },
        { "largest_on_worker", fragmentation.mLargestOnWorker },
        { "largest_in_rack", fragmentation.mLargestInRack },
        { "largest_in_zone", fragmentation.mLargestInZone } } }
  };
  // Names come from callers and may not be UTF-8.
  return status.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string
ExplainJson(CoordinatorCore& aCore, const jobs::JobRecord& aJob)
{
  const protocol::JobView view = ViewOf(aCore, aJob, false);
  Json explain = { { "job", aJob.mJob.Value() },
                   { "account", aJob.mSpec.mAccount.Value() },
                   { "profile", aJob.mSpec.mProfile.Value() },
                   { "state", protocol::ToString(view.mState) },
                   { "reason", std::string(base::ToString(view.mReason)) },
                   { "ran", std::string(base::ToString(view.mRan)) },
                   { "message", view.mMessage },
                   { "attempt", view.mAttempt.Value() },
                   { "retries", aJob.mRetries } };
  if (aJob.mPhase == jobs::JobPhase::Queued) {
    explain["wait"] = WaitJson(aCore, aJob);
  }
  const auto it = aCore.mAttempts.find(aJob.mJob);
  if (it != aCore.mAttempts.end()) {
    Json tasks = Json::array();
    for (const LiveTask& task : it->second.mTasks) {
      tasks.push_back({ { "worker", task.mAssignment.mWorker.Value() },
                        { "accelerators", task.mAssignment.mAccelerators },
                        { "state", ToString(task.mPhase) },
                        { "checkpointed", task.mCheckpointed } });
    }
    explain["tasks"] = tasks;
    explain["stopping"] = it->second.mStopping;
    explain["preempting"] = it->second.mPreempting;
  }
  return explain.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace dogwooddrum::coordination::control
