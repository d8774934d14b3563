#include "dogwooddrum/coordination/workloads/Evacuations.h"
#include "dogwooddrum/coordination/workloads/Objectives.h"

#include <algorithm>

namespace dogwooddrum::coordination::workloads {

namespace {

using protocol::WorkloadReply;
using protocol::WorkloadResult;

void
Reply(LeaderContext& aLeader,
      const PendingRequest& aPending,
      WorkloadReply aReply)
{
  aReply.mId = aPending.mRequest;
  WorkloadSchedulerMessage message;
  message.mSession = aPending.mSession;
  message.mBody = std::move(aReply);
  aLeader.mOutput.mMessages.push_back(std::move(message));
}

void
Reply(LeaderContext& aLeader,
      const PendingRequest& aPending,
      WorkloadResult aResult,
      const std::string& aMessage = {})
{
  WorkloadReply reply;
  reply.mResult = aResult;
  reply.mMessage = aMessage;
  Reply(aLeader, aPending, std::move(reply));
}

bool
IsOfQueue(const LeaderContext& aLeader,
          const WorkloadRecord& aWorkload,
          const protocol::QueueReference& aQueue)
{
  return aLeader.mState->ResolveQueue(aQueue) == aWorkload.mQueue;
}

/** Returns the key of the catalog's queue to which aQueue refers. */
std::optional<QueueKey>
FindOpenQueue(const LeaderContext& aLeader,
              const protocol::QueueReference& aQueue)
{
  const auto key = aLeader.mState->ResolveQueue(aQueue);
  return key && aLeader.mState->Queues().IsInCatalog(*key) ? key : std::nullopt;
}

struct RequestVisitor
{
  LeaderContext& mLeader;
  PendingRequest mPending;

  const WorkloadRecord* Find(const WorkloadId& aId,
                             const protocol::QueueReference& aQueue) const
  {
    const WorkloadRecord* workload = mLeader.mState->Find(aId);
    return workload != nullptr && IsOfQueue(mLeader, *workload, aQueue)
             ? workload
             : nullptr;
  }

  void Reject(const WorkloadId& aId,
              WorkloadResult aResult,
              const std::string& aReason) const
  {
    AddEvent(mLeader,
             WorkloadEvent::Kind::Rejected,
             { { "workload", aId.Value() }, { "reason", aReason } });
    Reply(mLeader, mPending, aResult, aReason);
  }

  void operator()(const protocol::SubmitWorkload& aRequest) const
  {
    if (const auto* known = mLeader.mState->Find(aRequest.mId)) {
      if (IsOfQueue(mLeader, *known, aRequest.mQueue)) {
        Reply(mLeader, mPending, WorkloadResult::Accepted, "known");
      } else {
        Reject(
          aRequest.mId, WorkloadResult::Invalid, "the id is of another queue");
      }
      return;
    }
    auto& waiters = mLeader.mPendingSubmits[aRequest.mId];
    if (!waiters.empty()) {
      waiters.push_back(mPending);
      return;
    }
    mLeader.mPendingSubmits.erase(aRequest.mId);
    if (const auto problem = CheckWorkload(aRequest.mSpec); !problem.empty()) {
      Reject(aRequest.mId, WorkloadResult::Invalid, problem);
      return;
    }
    const auto queue = FindOpenQueue(mLeader, aRequest.mQueue);
    if (!queue) {
      Reject(aRequest.mId,
             WorkloadResult::Unknown,
             "no queue " + aRequest.mQueue.mName.Value());
      return;
    }
    if (mLeader.mState->Active().size() >= mLeader.mOptions.mMaxActive) {
      Reject(aRequest.mId,
             WorkloadResult::Refused,
             std::to_string(mLeader.mState->Active().size()) +
               " workloads are active");
      return;
    }
    mLeader.mPendingSubmits[aRequest.mId].push_back(mPending);
    // The key identifies the queue also if another catalog is applied first.
    Accept accept{ aRequest, UnixMs(mLeader) };
    accept.mRequest.mQueue = { protocol::QueueName(queue->Value()), {} };
    Propose(mLeader, std::move(accept));
  }

  void operator()(const protocol::ReadWorkload& aRequest) const
  {
    const auto* workload = Find(aRequest.mId, aRequest.mQueue);
    WorkloadReply reply;
    reply.mResult =
      workload == nullptr ? WorkloadResult::Unknown : WorkloadResult::Found;
    reply.mPhase =
      workload == nullptr ? WorkloadPhase::Queued : workload->mPhase;
    reply.mMessage = workload == nullptr ? std::string() : workload->mFailure;
    Reply(mLeader, mPending, std::move(reply));
  }

  void operator()(const protocol::CancelWorkload& aRequest) const
  {
    const auto* workload = Find(aRequest.mId, aRequest.mQueue);
    if (workload == nullptr &&
        mLeader.mPendingSubmits.count(aRequest.mId) == 0) {
      Reply(mLeader, mPending, WorkloadResult::Unknown);
      return;
    }
    if (workload != nullptr && HasEnded(*workload)) {
      Reply(mLeader, mPending, WorkloadResult::Accepted);
      return;
    }
    auto& waiters = mLeader.mPendingCancels[aRequest.mId];
    waiters.push_back(mPending);
    if (waiters.size() == 1) {
      Propose(mLeader, Cancel{ aRequest.mId, UnixMs(mLeader) });
    }
  }

  void operator()(const protocol::CountWaitingWorkloads& aRequest) const
  {
    const auto& state = *mLeader.mState;
    const auto queue = FindOpenQueue(mLeader, aRequest.mQueue);
    WorkloadReply reply;
    reply.mResult = queue ? WorkloadResult::Found : WorkloadResult::Unknown;
    for (const WorkloadId& id : state.Active()) {
      const auto* workload = state.Find(id);
      if (workload != nullptr && workload->mQueue == queue &&
          !workload->mStarted && !HasEnded(*workload)) {
        ++reply.mWaitingCount;
      }
    }
    Reply(mLeader, mPending, std::move(reply));
  }

  void operator()(const protocol::SetZoneEvacuation& aRequest) const
  {
    if (IsKnownZone(mLeader, aRequest.mZone)) {
      ProposeEvacuation(mLeader, mPending, aRequest);
    } else {
      Reply(mLeader,
            mPending,
            WorkloadResult::Unknown,
            "no availability zone " + aRequest.mZone.Value());
    }
  }

  void operator()(const protocol::ListEvacuations&) const
  {
    const auto& zones = mLeader.mState->EvacuatedZones();
    WorkloadReply reply;
    reply.mResult = WorkloadResult::Found;
    reply.mEvacuatedZones.assign(zones.begin(), zones.end());
    Reply(mLeader, mPending, std::move(reply));
  }

  void operator()(const protocol::ReplaceCatalog& aRequest) const
  {
    const auto& catalog = aRequest.mCatalog;
    // A version that is not higher is ignored, whatever its content.
    if (catalog.mVersion <= mLeader.mState->CurrentCatalog().mVersion) {
      WorkloadReply reply;
      reply.mResult = WorkloadResult::Accepted;
      reply.mVersion = mLeader.mState->CurrentCatalog().mVersion;
      Reply(mLeader, mPending, std::move(reply));
      return;
    }
    mLeader.mCatalogWaiters.emplace_back(catalog.mVersion, mPending);
    if (catalog.mVersion > mLeader.mProposedVersion) {
      mLeader.mProposedVersion = catalog.mVersion;
      Propose(mLeader, AdoptCatalog{ catalog });
    }
  }

  void operator()(const protocol::ReadCatalog& aRequest) const
  {
    const Catalog& catalog = mLeader.mState->CurrentCatalog();
    WorkloadReply reply;
    reply.mResult = WorkloadResult::Found;
    reply.mVersion = catalog.mVersion;
    reply.mMembers = mLeader.mMembers;
    using Content = protocol::ReadCatalog::Content;
    if (aRequest.mContent == Content::Whole &&
        catalog.mVersion != protocol::CatalogVersion()) {
      reply.mCatalog = catalog;
    }
    if (aRequest.mContent == Content::Delta) {
      const auto it = mLeader.mCatalogs.find(aRequest.mHeldVersion);
      reply.mDelta = MakeCatalogDelta(
        it == mLeader.mCatalogs.end() ? Catalog() : it->second, catalog);
    }
    Reply(mLeader, mPending, std::move(reply));
  }
};

/** Whether a request needs a quorum round. A commit is one by itself, so that
 * requests that propose a change need none. */
struct ConfirmedReadVisitor
{
  const LeaderContext& mLeader;

  bool operator()(const protocol::SubmitWorkload& aRequest) const
  {
    const auto* workload = mLeader.mState->Find(aRequest.mId);
    return workload == nullptr
             ? !FindOpenQueue(mLeader, aRequest.mQueue)
             : !IsOfQueue(mLeader, *workload, aRequest.mQueue);
  }
  bool operator()(const protocol::CancelWorkload& aRequest) const
  {
    const auto* workload = mLeader.mState->Find(aRequest.mId);
    return workload == nullptr
             ? mLeader.mPendingSubmits.count(aRequest.mId) == 0
             : !IsOfQueue(mLeader, *workload, aRequest.mQueue);
  }
  bool operator()(const protocol::ReplaceCatalog&) const { return false; }
  bool operator()(const protocol::SetZoneEvacuation&) const { return false; }
  template<typename Read>
  bool operator()(const Read&) const
  {
    return true;
  }
};

/** Answers all requests that wait for aId: as accepted if the workload exists,
 * else as unknown. */
void
AnswerAll(LeaderContext& aLeader,
          std::map<WorkloadId, std::vector<PendingRequest>>& aWaiting,
          const WorkloadId& aId)
{
  const auto it = aWaiting.find(aId);
  if (it == aWaiting.end()) {
    return;
  }
  const bool isKnown = aLeader.mState->Find(aId) != nullptr;
  for (const PendingRequest& waiter : it->second) {
    Reply(aLeader,
          waiter,
          isKnown ? WorkloadResult::Accepted : WorkloadResult::Unknown);
  }
  aWaiting.erase(it);
}

struct AnswerVisitor
{
  LeaderContext& mLeader;
  void operator()(const Accept& aChange) const
  {
    const auto& request = aChange.mRequest;
    const auto* workload = mLeader.mState->Find(request.mId);
    const auto* queue =
      workload == nullptr ? nullptr : QueueOf(mLeader, *workload);
    if (queue == nullptr) {
      AnswerAll(mLeader, mLeader.mPendingSubmits, request.mId);
      return;
    }
    AddEvent(mLeader,
             WorkloadEvent::Kind::Accepted,
             { { "workload", request.mId.Value() },
               { "queue", queue->mName.Value() },
               { "account", request.mAccount.Value() },
               { "steps", std::to_string(request.mSpec.mSteps.size()) },
               { "tasks", std::to_string(request.mSpec.mSteps[0].mCount) },
               { "priority", std::to_string(queue->mPriority) },
               { "allowed_ms",
                 std::to_string(AllowedTimeMs(request.mSpec, *queue)) } });
    AnswerAll(mLeader, mLeader.mPendingSubmits, request.mId);
  }
  void operator()(const Cancel& aChange) const
  {
    AddEvent(mLeader,
             WorkloadEvent::Kind::Cancelled,
             { { "workload", aChange.mWorkload.Value() } });
    AnswerAll(mLeader, mLeader.mPendingCancels, aChange.mWorkload);
  }
  void operator()(const AdoptCatalog&) const
  {
    auto& waiting = mLeader.mCatalogWaiters;
    const auto version = mLeader.mState->CurrentCatalog().mVersion;
    for (auto it = waiting.begin(); it != waiting.end();) {
      if (it->first > version) {
        ++it;
        continue;
      }
      WorkloadReply reply;
      reply.mResult = WorkloadResult::Accepted;
      reply.mVersion = version;
      Reply(mLeader, it->second, std::move(reply));
      it = waiting.erase(it);
    }
  }
  void operator()(const RecordEvacuation& aChange) const
  {
    if (const auto waiter = TakeEvacuationWaiter(mLeader, aChange)) {
      Reply(mLeader, *waiter, WorkloadResult::Accepted);
    }
  }
  template<typename Other>
  void operator()(const Other&) const
  {
  }
};

} // namespace

bool
NeedsConfirmedRead(const LeaderContext& aLeader,
                   const protocol::WorkloadRequest& aRequest)
{
  return std::visit(ConfirmedReadVisitor{ aLeader }, aRequest.mBody);
}

void
HandleRequest(LeaderContext& aLeader,
              Session aSession,
              const protocol::WorkloadRequest& aRequest)
{
  std::visit(RequestVisitor{ aLeader, { aSession, aRequest.mId } },
             aRequest.mBody);
}

void
AnswerCommitted(LeaderContext& aLeader, const Change& aChange)
{
  std::visit(AnswerVisitor{ aLeader }, aChange.mBody);
}

} // namespace dogwooddrum::coordination::workloads
