#include "dogwooddrum/coordination/control/Coordinator.h"

#include "dogwooddrum/base/Check.h"
#include "dogwooddrum/coordination/control/AgentRegistry.h"
#include "dogwooddrum/coordination/control/AnswerAssembly.h"
#include "dogwooddrum/coordination/control/Attempts.h"
#include "dogwooddrum/coordination/control/CoordinatorCore.h"
#include "dogwooddrum/coordination/control/Dispatch.h"
#include "dogwooddrum/coordination/control/Effects.h"
#include "dogwooddrum/coordination/control/Requests.h"
#include "dogwooddrum/protocol/Codec.h"

#include <utility>

namespace dogwooddrum::coordination::control {

namespace {

/** Largest size of a batch of commands; a larger command gets its own batch. */
constexpr std::size_t kMaxBatchBytes = 256U << 10;
/** Approximate largest size of a command without its payload. */
constexpr std::size_t kCommandOverheadBytes = 256;

std::size_t
EstimateSize(const jobs::Command& aCommand)
{
  if (const auto* submit = std::get_if<jobs::SubmitJob>(&aCommand)) {
    const std::size_t tasks =
      submit->mStart ? submit->mStart->mTasks.size() : 0;
    return kCommandOverheadBytes * (1 + tasks) + submit->mSpec.mPayload.size();
  }
  if (const auto* start = std::get_if<jobs::StartAttempt>(&aCommand)) {
    return kCommandOverheadBytes * (1 + start->mStart.mTasks.size());
  }
  if (const auto* part = std::get_if<jobs::StoreAnswerPart>(&aCommand)) {
    return kCommandOverheadBytes + part->mBytes.size();
  }
  if (const auto* change = std::get_if<workloads::Change>(&aCommand)) {
    return protocol::Encode(*change).size();
  }
  return kCommandOverheadBytes;
}

workloads::Session
ToWorkloadSession(SessionId aSession)
{
  return workloads::Session(aSession.Value());
}

/** Moves the workload scheduler's output into the coordinator's output. */
void
TakeSchedulerOutput(CoordinatorCore& aCore,
                    workloads::WorkloadScheduler& aScheduler)
{
  auto output = aScheduler.TakeOutput(aCore.mNow);
  for (auto& change : output.mChanges) {
    Propose(aCore, std::move(change));
  }
  for (auto& message : output.mMessages) {
    const SessionId session(message.mSession.Value());
    std::visit([&](auto& aBody) { Send(aCore, session, std::move(aBody)); },
               message.mBody);
  }
  for (const auto session : output.mRedirects) {
    Send(aCore, SessionId(session.Value()), MakeRedirect(aCore));
  }
  for (auto& note : output.mWorkloadEvents) {
    aCore.mOutput.mWorkloadEvents.push_back(std::move(note));
  }
}

/** Packs the queued commands into as few log entries as possible. */
void
FlushCommands(CoordinatorCore& aCore)
{
  jobs::Batch batch;
  batch.mClockMs = ReplicatedClockMs(aCore, aCore.mNow);
  std::size_t bytes = 0;
  const auto flush = [&] {
    aCore.mOutput.mProposals.push_back(protocol::Encode(batch));
    batch.mCommands.clear();
    bytes = 0;
  };
  for (jobs::Command& command : aCore.mCommands) {
    const std::size_t size = EstimateSize(command);
    if (!batch.mCommands.empty() && bytes + size > kMaxBatchBytes) {
      flush();
    }
    batch.mCommands.push_back(std::move(command));
    bytes += size;
  }
  if (!batch.mCommands.empty()) {
    flush();
  }
  aCore.mCommands.clear();
  aCore.mUnsentSubmits.clear();
}

void
StartConfirmedRead(CoordinatorCore& aCore)
{
  if (aCore.mNextReadBatch.empty()) {
    return;
  }
  const consensus::ReadId id(++aCore.mLastReadId);
  aCore.mUnconfirmedReads[id] = std::exchange(aCore.mNextReadBatch, {});
  aCore.mOutput.mReads.push_back(id);
}

struct ConfirmedReadHandler
{
  CoordinatorCore& mCore;
  workloads::WorkloadScheduler& mWorkloadScheduler;
  void operator()(const DeferredWorkloadRead& aQuery) const
  {
    mWorkloadScheduler.OnRequest(
      ToWorkloadSession(aQuery.mSession), aQuery.mRequest, mCore.mNow);
  }
  void operator()(const DeferredWorkerReport& aQuery) const
  {
    mWorkloadScheduler.OnReport(
      ToWorkloadSession(aQuery.mSession), aQuery.mReport, mCore.mNow);
  }
  void operator()(const DeferredQuery& aQuery) const
  {
    AnswerQuery(mCore, aQuery);
  }
  void operator()(const DeferredPoll& aQuery) const
  {
    AnswerPoll(mCore, aQuery);
  }
  void operator()(const DeferredHeartbeat& aQuery) const
  {
    ReplyToHeartbeat(mCore, aQuery);
  }
};

} // namespace

struct Coordinator::Impl : public CoordinatorCore
{
  explicit Impl(const CoordinatorOptions& aOptions)
    : CoordinatorCore(aOptions)
    , mWorkloadScheduler(aOptions.mWorkloads, mState.Workloads())
  {
  }

  /** Keeps a reference to the replicated state in CoordinatorCore, which stays
   * at the same address. */
  workloads::WorkloadScheduler mWorkloadScheduler;
};

Coordinator::Coordinator(const CoordinatorOptions& aOptions)
  : mImpl(std::make_unique<Impl>(aOptions))
{
}
Coordinator::~Coordinator() = default;
Coordinator::Coordinator(Coordinator&&) noexcept = default;
Coordinator&
Coordinator::operator=(Coordinator&&) noexcept = default;

bool
Coordinator::Restore(const std::string& aState)
{
  return mImpl->mState.Restore(aState);
}

std::string
Coordinator::SaveState() const
{
  return mImpl->mState.Save();
}

void
Coordinator::Apply(const consensus::LogEntry& aEntry, base::Time aNow)
{
  mImpl->mNow = aNow;
  if (aEntry.mKind == consensus::EntryKind::Membership) {
    // At most one change is uncommitted, so the newest one is now committed.
    mImpl->mCommittedMembership = mImpl->mMembership;
    AdvanceMemberRequests(*mImpl);
  }
  if (aEntry.mKind != consensus::EntryKind::Command) {
    return;
  }
  const auto batch = protocol::Decode<jobs::Batch>(aEntry.mPayload);
  DOGWOODDRUM_INVARIANT(
    batch,
    "log entry " + std::to_string(aEntry.mIndex.Value()) +
      " cannot be decoded: " + batch.LastFailure().mMessage);
  const auto effects = mImpl->mState.Apply(*batch);
  if (mImpl->mIsLeader) {
    for (const jobs::Effect& effect : effects) {
      OnEffect(*mImpl, effect);
    }
    for (const jobs::Command& command : batch->mCommands) {
      if (const auto* change = std::get_if<workloads::Change>(&command)) {
        mImpl->mWorkloadScheduler.OnApplied(*change, aNow);
      }
    }
  }
}

void
Coordinator::BecomeLeader(base::Term aTerm, base::Time aNow)
{
  mImpl->mNow = aNow;
  StartLeading(*mImpl, aTerm);
  mImpl->mWorkloadScheduler.BecomeLeader(aTerm, aNow);
}

void
Coordinator::StepDown(base::Time aNow)
{
  mImpl->mNow = aNow;
  if (mImpl->mIsLeader) {
    StopLeading(*mImpl);
    mImpl->mWorkloadScheduler.StepDown();
  }
}

void
Coordinator::SetLeader(base::MemberId aLeader, const std::string& aAddress)
{
  mImpl->mLeader = aLeader;
  mImpl->mLeaderAddress = aAddress;
}

void
Coordinator::SetMembership(const consensus::Membership& aMembership)
{
  if (mImpl->mCommittedMembership.mMembers.empty()) {
    mImpl->mCommittedMembership = aMembership;
  }
  mImpl->mMembership = aMembership;
  std::vector<std::string> addresses;
  for (const auto& member : aMembership.mMembers) {
    addresses.push_back(member.mAddress);
  }
  mImpl->mWorkloadScheduler.SetMembers(std::move(addresses));
}

void
Coordinator::OnReadConfirmed(consensus::ReadId aRead, base::Time aNow)
{
  mImpl->mNow = aNow;
  const auto it = mImpl->mUnconfirmedReads.find(aRead);
  if (it == mImpl->mUnconfirmedReads.end()) {
    return;
  }
  const auto queries = std::move(it->second);
  mImpl->mUnconfirmedReads.erase(it);
  for (const DeferredRead& query : queries) {
    std::visit(ConfirmedReadHandler{ *mImpl, mImpl->mWorkloadScheduler },
               query);
  }
}

void
Coordinator::OnReadFailed(consensus::ReadId aRead, base::Time aNow)
{
  mImpl->mNow = aNow;
  const auto it = mImpl->mUnconfirmedReads.find(aRead);
  if (it != mImpl->mUnconfirmedReads.end()) {
    RedirectDeferredReads(*mImpl, it->second);
    mImpl->mUnconfirmedReads.erase(it);
  }
}

void
Coordinator::OnClientRequest(SessionId aSession,
                             const protocol::ClientRequest& aRequest,
                             base::Time aNow)
{
  mImpl->mNow = aNow;
  const Caller caller{ aSession, aRequest.mId };
  if (!mImpl->mIsLeader) {
    Reply(*mImpl, caller, MakeRedirect(*mImpl));
    return;
  }
  OnRequest(*mImpl, caller, aRequest.mBody);
}

void
Coordinator::OnFreshnessPoll(SessionId aSession,
                             const protocol::FreshnessPoll& aPoll,
                             base::Time aNow)
{
  mImpl->mNow = aNow;
  if (!mImpl->mIsLeader) {
    Send(*mImpl, aSession, MakeRedirect(*mImpl));
    return;
  }
  mImpl->mNextReadBatch.emplace_back(DeferredPoll{ aSession, aPoll });
}

void
Coordinator::OnAgentHeartbeat(SessionId aSession,
                              const protocol::AgentHeartbeat& aHeartbeat,
                              base::Time aNow)
{
  mImpl->mNow = aNow;
  if (!mImpl->mIsLeader) {
    Send(*mImpl, aSession, MakeRedirect(*mImpl));
    return;
  }
  OnHeartbeat(*mImpl, aSession, aHeartbeat);
}

void
Coordinator::OnTaskReport(SessionId,
                          base::Incarnation aIncarnation,
                          const protocol::TaskReport& aReport,
                          base::Time aNow)
{
  mImpl->mNow = aNow;
  AgentRecord* agent = FindAgent(*mImpl, aIncarnation);
  if (mImpl->mIsLeader && agent != nullptr) {
    RouteTaskReport(*mImpl, *agent, aReport);
  }
}

void
Coordinator::OnAnswerChunk(SessionId aSession,
                           const protocol::AnswerChunk& aChunk,
                           base::Time aNow)
{
  mImpl->mNow = aNow;
  if (mImpl->mIsLeader) {
    OnChunk(*mImpl, aSession, aChunk);
  }
}

void
Coordinator::OnWorkloadRequest(SessionId aSession,
                               const protocol::WorkloadRequest& aRequest,
                               base::Time aNow)
{
  mImpl->mNow = aNow;
  if (!mImpl->mIsLeader) {
    Send(*mImpl, aSession, MakeRedirect(*mImpl));
  } else if (mImpl->mWorkloadScheduler.NeedsConfirmedRead(aRequest)) {
    mImpl->mNextReadBatch.emplace_back(
      DeferredWorkloadRead{ aSession, aRequest });
  } else {
    mImpl->mWorkloadScheduler.OnRequest(
      ToWorkloadSession(aSession), aRequest, aNow);
  }
}

void
Coordinator::OnWorkerReport(SessionId aSession,
                            const protocol::WorkerReport& aReport,
                            base::Time aNow)
{
  mImpl->mNow = aNow;
  if (!mImpl->mIsLeader) {
    Send(*mImpl, aSession, MakeRedirect(*mImpl));
    return;
  }
  mImpl->mNextReadBatch.emplace_back(DeferredWorkerReport{ aSession, aReport });
}

void
Coordinator::OnSessionClosed(SessionId aSession, base::Time aNow)
{
  mImpl->mNow = aNow;
  CloseClientSession(*mImpl, aSession);
  CloseAgentSession(*mImpl, aSession);
  mImpl->mWorkloadScheduler.OnSessionClosed(ToWorkloadSession(aSession));
}

void
Coordinator::SetUnixOffset(std::int64_t aOffsetMs)
{
  mImpl->mWorkloadScheduler.SetUnixOffset(aOffsetMs);
}

void
Coordinator::Tick(base::Time aNow)
{
  mImpl->mNow = aNow;
  if (mImpl->mIsLeader) {
    RunTimers(*mImpl);
    mImpl->mWorkloadScheduler.Tick(aNow);
  }
}

Output
Coordinator::TakeOutput()
{
  TakeSchedulerOutput(*mImpl, mImpl->mWorkloadScheduler);
  if (mImpl->mIsLeader) {
    ProposeCancels(*mImpl);
    RunPlacement(*mImpl);
    FlushCommands(*mImpl);
    StartConfirmedRead(*mImpl);
  }
  return std::exchange(mImpl->mOutput, Output{});
}

const protocol::Configuration&
Coordinator::Configuration() const
{
  return mImpl->mState.Configuration();
}

const workloads::State&
Coordinator::Workloads() const
{
  return mImpl->mState.Workloads();
}

const std::string&
Coordinator::LeaderAddress() const
{
  return mImpl->mLeaderAddress;
}

std::uint64_t
Coordinator::ActiveJobs() const
{
  return mImpl->mState.ActiveJobs() + mImpl->mState.Workloads().Active().size();
}

placement::FragmentationReport
Coordinator::Fragmentation() const
{
  return mImpl->mPlacer.Fragmentation();
}

} // namespace dogwooddrum::coordination::control
