#include "dogwooddrum/coordination/workloads/Leading.h"

#include <algorithm>

namespace dogwooddrum::coordination::workloads {

namespace {

using protocol::WorkloadReply;
using protocol::WorkloadResult;

void
Reply(Leading& aLeading, const Waiter& aWaiter, WorkloadReply aReply)
{
  aReply.mId = aWaiter.mRequest;
  SchedulerMessage message;
  message.mSession = aWaiter.mSession;
  message.mBody = std::move(aReply);
  aLeading.mOutput.mMessages.push_back(std::move(message));
}

void
Reply(Leading& aLeading,
      const Waiter& aWaiter,
      WorkloadResult aResult,
      const std::string& aMessage = {})
{
  WorkloadReply reply;
  reply.mResult = aResult;
  reply.mMessage = aMessage;
  Reply(aLeading, aWaiter, std::move(reply));
}

struct RequestVisitor
{
  Leading& mLeading;
  Waiter mWaiter;

  const WorkloadRecord* Find(const WorkloadId& aId,
                             const protocol::QueueName& aQueue) const
  {
    const WorkloadRecord* workload = mLeading.mState->Find(aId);
    return workload != nullptr && workload->mQueueName == aQueue ? workload
                                                                 : nullptr;
  }

  void Reject(const WorkloadId& aId,
              WorkloadResult aResult,
              const std::string& aWhy) const
  {
    Tell(mLeading,
         Note::Kind::Rejected,
         { { "workload", aId.Value() }, { "reason", aWhy } });
    Reply(mLeading, mWaiter, aResult, aWhy);
  }

  void operator()(const protocol::SubmitWorkload& aRequest) const
  {
    if (const auto* known = mLeading.mState->Find(aRequest.mId)) {
      if (known->mQueueName == aRequest.mQueue) {
        Reply(mLeading, mWaiter, WorkloadResult::Accepted, "known");
      } else {
        Reject(
          aRequest.mId, WorkloadResult::Invalid, "the id is of another queue");
      }
      return;
    }
    auto& waiters = mLeading.mSubmits[aRequest.mId];
    if (!waiters.empty()) {
      waiters.push_back(mWaiter);
      return;
    }
    mLeading.mSubmits.erase(aRequest.mId);
    if (const auto problem = CheckWorkload(aRequest.mSpec); !problem.empty()) {
      Reject(aRequest.mId, WorkloadResult::Invalid, problem);
      return;
    }
    if (FindQueue(mLeading.mState->CurrentCatalog(), aRequest.mQueue) ==
        nullptr) {
      Reject(aRequest.mId,
             WorkloadResult::Unknown,
             "no queue " + aRequest.mQueue.Value());
      return;
    }
    if (mLeading.mState->Active().size() >= mLeading.mOptions.mMaxActive) {
      Reject(aRequest.mId,
             WorkloadResult::Refused,
             std::to_string(mLeading.mState->Active().size()) +
               " workloads are active");
      return;
    }
    mLeading.mSubmits[aRequest.mId].push_back(mWaiter);
    Propose(mLeading, Accept{ aRequest, UnixMs(mLeading) });
  }

  void operator()(const protocol::ReadWorkload& aRequest) const
  {
    const auto* workload = Find(aRequest.mId, aRequest.mQueue);
    WorkloadReply reply;
    reply.mResult =
      workload == nullptr ? WorkloadResult::Unknown : WorkloadResult::Found;
    reply.mPhase =
      workload == nullptr ? WorkloadPhase::Queued : workload->mPhase;
    Reply(mLeading, mWaiter, std::move(reply));
  }

  void operator()(const protocol::CancelWorkload& aRequest) const
  {
    const auto* workload = Find(aRequest.mId, aRequest.mQueue);
    if (workload == nullptr && mLeading.mSubmits.count(aRequest.mId) == 0) {
      Reply(mLeading, mWaiter, WorkloadResult::Unknown);
      return;
    }
    if (workload != nullptr && HasEnded(*workload)) {
      Reply(mLeading, mWaiter, WorkloadResult::Accepted);
      return;
    }
    auto& waiters = mLeading.mCancels[aRequest.mId];
    waiters.push_back(mWaiter);
    if (waiters.size() == 1) {
      Propose(mLeading, Cancel{ aRequest.mId, UnixMs(mLeading) });
    }
  }

  void operator()(const protocol::CountWaiting& aRequest) const
  {
    const auto& state = *mLeading.mState;
    WorkloadReply reply;
    reply.mResult =
      FindQueue(state.CurrentCatalog(), aRequest.mQueue) == nullptr
        ? WorkloadResult::Unknown
        : WorkloadResult::Found;
    for (const WorkloadId& id : state.Active()) {
      const auto* workload = Find(id, aRequest.mQueue);
      if (workload != nullptr && !workload->mStarted && !HasEnded(*workload)) {
        ++reply.mWaiting;
      }
    }
    Reply(mLeading, mWaiter, std::move(reply));
  }

  void operator()(const protocol::ReplaceCatalog& aRequest) const
  {
    const auto& catalog = aRequest.mCatalog;
    // A version that is not higher changes nothing, whatever it holds.
    if (catalog.mVersion <= mLeading.mState->CurrentCatalog().mVersion) {
      WorkloadReply reply;
      reply.mResult = WorkloadResult::Accepted;
      reply.mVersion = mLeading.mState->CurrentCatalog().mVersion;
      Reply(mLeading, mWaiter, std::move(reply));
      return;
    }
    mLeading.mCatalogWaiters.emplace_back(catalog.mVersion, mWaiter);
    if (catalog.mVersion > mLeading.mProposedVersion) {
      mLeading.mProposedVersion = catalog.mVersion;
      Propose(mLeading, AdoptCatalog{ catalog });
    }
  }

  void operator()(const protocol::ReadCatalog& aRequest) const
  {
    const Catalog& catalog = mLeading.mState->CurrentCatalog();
    WorkloadReply reply;
    reply.mResult = WorkloadResult::Found;
    reply.mVersion = catalog.mVersion;
    reply.mMembers = mLeading.mMembers;
    using Content = protocol::ReadCatalog::Content;
    if (aRequest.mContent == Content::Whole &&
        catalog.mVersion != protocol::CatalogVersion()) {
      reply.mCatalog = catalog;
    }
    if (aRequest.mContent == Content::Delta) {
      const auto it = mLeading.mCatalogs.find(aRequest.mHave);
      reply.mDelta = DeltaOf(
        it == mLeading.mCatalogs.end() ? Catalog() : it->second, catalog);
    }
    Reply(mLeading, mWaiter, std::move(reply));
  }
};

/** Answers everyone who waits for aId, with one result. */
void
AnswerAll(Leading& aLeading,
          std::map<WorkloadId, std::vector<Waiter>>& aWaiting,
          const WorkloadId& aId)
{
  const auto it = aWaiting.find(aId);
  if (it == aWaiting.end()) {
    return;
  }
  const bool known = aLeading.mState->Find(aId) != nullptr;
  for (const Waiter& waiter : it->second) {
    Reply(aLeading,
          waiter,
          known ? WorkloadResult::Accepted : WorkloadResult::Unknown);
  }
  aWaiting.erase(it);
}

struct AnswerVisitor
{
  Leading& mLeading;
  void operator()(const Accept& aChange) const
  {
    const auto& request = aChange.mRequest;
    Tell(mLeading,
         Note::Kind::Accepted,
         { { "workload", request.mId.Value() },
           { "queue", request.mQueue.Value() },
           { "account", request.mAccount.Value() },
           { "steps", std::to_string(request.mSpec.mSteps.size()) },
           { "tasks", std::to_string(request.mSpec.mSteps[0].mCount) } });
    AnswerAll(mLeading, mLeading.mSubmits, request.mId);
  }
  void operator()(const Cancel& aChange) const
  {
    Tell(mLeading,
         Note::Kind::Cancelled,
         { { "workload", aChange.mWorkload.Value() } });
    AnswerAll(mLeading, mLeading.mCancels, aChange.mWorkload);
  }
  void operator()(const AdoptCatalog&) const
  {
    auto& waiting = mLeading.mCatalogWaiters;
    const auto version = mLeading.mState->CurrentCatalog().mVersion;
    for (auto it = waiting.begin(); it != waiting.end();) {
      if (it->first > version) {
        ++it;
        continue;
      }
      WorkloadReply reply;
      reply.mResult = WorkloadResult::Accepted;
      reply.mVersion = version;
      Reply(mLeading, it->second, std::move(reply));
      it = waiting.erase(it);
    }
  }
  template<typename Other>
  void operator()(const Other&) const
  {
  }
};

} // namespace

void
HandleRequest(Leading& aLeading,
              Session aSession,
              const protocol::WorkloadRequest& aRequest)
{
  std::visit(RequestVisitor{ aLeading, { aSession, aRequest.mId } },
             aRequest.mBody);
}

void
AnswerCommitted(Leading& aLeading, const Change& aChange)
{
  std::visit(AnswerVisitor{ aLeading }, aChange.mBody);
}

} // namespace dogwooddrum::coordination::workloads
