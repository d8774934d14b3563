#include "dogwooddrum/coordination/control/Coordinator.h"

#include "dogwooddrum/base/Check.h"
#include "dogwooddrum/coordination/control/Answers.h"
#include "dogwooddrum/coordination/control/Attempts.h"
#include "dogwooddrum/coordination/control/Core.h"
#include "dogwooddrum/coordination/control/Dispatch.h"
#include "dogwooddrum/coordination/control/Effects.h"
#include "dogwooddrum/coordination/control/Registry.h"
#include "dogwooddrum/coordination/control/Requests.h"
#include "dogwooddrum/protocol/Codec.h"

#include <utility>

namespace dogwooddrum::coordination::control {

namespace {

/** Commands of one batch, in bytes; one larger command goes alone. */
constexpr std::size_t kMaxBatchBytes = 256U << 10;
/** What a command without payload takes at most, roughly. */
constexpr std::size_t kCommandBytes = 256;

std::size_t
SizeOf(const jobs::Command& aCommand)
{
  if (const auto* submit = std::get_if<jobs::SubmitJob>(&aCommand)) {
    const std::size_t tasks =
      submit->mStart ? submit->mStart->mTasks.size() : 0;
    return kCommandBytes * (1 + tasks) + submit->mSpec.mPayload.size();
  }
  if (const auto* start = std::get_if<jobs::StartAttempt>(&aCommand)) {
    return kCommandBytes * (1 + start->mStart.mTasks.size());
  }
  if (const auto* part = std::get_if<jobs::StoreAnswerPart>(&aCommand)) {
    return kCommandBytes + part->mBytes.size();
  }
  if (const auto* change = std::get_if<workloads::Change>(&aCommand)) {
    return protocol::Encode(*change).size();
  }
  return kCommandBytes;
}

workloads::Session
ToSession(SessionId aSession)
{
  return workloads::Session(aSession.Value());
}

/** Moves the scheduler's work into the core's output. */
void
TakeScheduled(Core& aCore, workloads::WorkloadScheduler& aScheduler)
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
    Send(aCore, SessionId(session.Value()), Redirect(aCore));
  }
  for (auto& note : output.mWorkloadEvents) {
    aCore.mOutput.mWorkloadEvents.push_back(std::move(note));
  }
}

/** Packs the gathered commands into as few log entries as fit. */
void
FlushCommands(Core& aCore)
{
  jobs::Batch batch;
  batch.mClockMs = ClockMs(aCore, aCore.mNow);
  std::size_t bytes = 0;
  const auto flush = [&] {
    aCore.mOutput.mProposals.push_back(protocol::Encode(batch));
    batch.mCommands.clear();
    bytes = 0;
  };
  for (jobs::Command& command : aCore.mCommands) {
    const std::size_t size = SizeOf(command);
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
StartRead(Core& aCore)
{
  if (aCore.mForNextRead.empty()) {
    return;
  }
  const consensus::ReadId id(++aCore.mLastRead);
  aCore.mReads[id] = std::exchange(aCore.mForNextRead, {});
  aCore.mOutput.mReads.push_back(id);
}

struct ConfirmedHandler
{
  Core& mCore;
  workloads::WorkloadScheduler& mScheduler;
  void operator()(const ConfirmedWorkloadRead& aQuery) const
  {
    mScheduler.OnRequest(
      ToSession(aQuery.mSession), aQuery.mRequest, mCore.mNow);
  }
  void operator()(const ConfirmedReport& aQuery) const
  {
    mScheduler.OnReport(ToSession(aQuery.mSession), aQuery.mReport, mCore.mNow);
  }
  void operator()(const ConfirmedQuery& aQuery) const
  {
    AnswerQuery(mCore, aQuery);
  }
  void operator()(const ConfirmedPoll& aQuery) const
  {
    AnswerPoll(mCore, aQuery);
  }
  void operator()(const ConfirmedHeartbeat& aQuery) const
  {
    ReplyToHeartbeat(mCore, aQuery);
  }
};

} // namespace

struct Coordinator::Impl : public Core
{
  explicit Impl(const CoordinatorOptions& aOptions)
    : Core(aOptions)
    , mScheduler(aOptions.mWorkloads, mState.Workloads())
  {
  }

  /** Reads the replicated state in Core, whose address does not change. */
  workloads::WorkloadScheduler mScheduler;
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
    // At most one change is uncommitted, so the newest is now committed.
    mImpl->mCommittedMembership = mImpl->mMembership;
    CheckMembers(*mImpl);
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
  if (mImpl->mLeads) {
    for (const jobs::Effect& effect : effects) {
      OnEffect(*mImpl, effect);
    }
    for (const jobs::Command& command : batch->mCommands) {
      if (const auto* change = std::get_if<workloads::Change>(&command)) {
        mImpl->mScheduler.OnApplied(*change, aNow);
      }
    }
  }
}

void
Coordinator::BecomeLeader(base::Term aTerm, base::Time aNow)
{
  mImpl->mNow = aNow;
  StartLeading(*mImpl, aTerm);
  mImpl->mScheduler.BecomeLeader(aTerm, aNow);
}

void
Coordinator::StepDown(base::Time aNow)
{
  mImpl->mNow = aNow;
  if (mImpl->mLeads) {
    StopLeading(*mImpl);
    mImpl->mScheduler.StepDown();
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
  mImpl->mScheduler.SetMembers(std::move(addresses));
}

void
Coordinator::ReadConfirmed(consensus::ReadId aRead, base::Time aNow)
{
  mImpl->mNow = aNow;
  const auto it = mImpl->mReads.find(aRead);
  if (it == mImpl->mReads.end()) {
    return;
  }
  const auto queries = std::move(it->second);
  mImpl->mReads.erase(it);
  for (const Confirmed& query : queries) {
    std::visit(ConfirmedHandler{ *mImpl, mImpl->mScheduler }, query);
  }
}

void
Coordinator::ReadFailed(consensus::ReadId aRead, base::Time aNow)
{
  mImpl->mNow = aNow;
  const auto it = mImpl->mReads.find(aRead);
  if (it != mImpl->mReads.end()) {
    RefuseQueries(*mImpl, it->second);
    mImpl->mReads.erase(it);
  }
}

void
Coordinator::OnClientRequest(SessionId aSession,
                             const protocol::ClientRequest& aRequest,
                             base::Time aNow)
{
  mImpl->mNow = aNow;
  const Caller caller{ aSession, aRequest.mId };
  if (!mImpl->mLeads) {
    Reply(*mImpl, caller, Redirect(*mImpl));
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
  if (!mImpl->mLeads) {
    Send(*mImpl, aSession, Redirect(*mImpl));
    return;
  }
  mImpl->mForNextRead.emplace_back(ConfirmedPoll{ aSession, aPoll });
}

void
Coordinator::OnAgentHeartbeat(SessionId aSession,
                              const protocol::AgentHeartbeat& aHeartbeat,
                              base::Time aNow)
{
  mImpl->mNow = aNow;
  if (!mImpl->mLeads) {
    Send(*mImpl, aSession, Redirect(*mImpl));
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
  if (mImpl->mLeads && agent != nullptr) {
    OnReport(*mImpl, *agent, aReport);
  }
}

void
Coordinator::OnAnswerChunk(SessionId aSession,
                           const protocol::AnswerChunk& aChunk,
                           base::Time aNow)
{
  mImpl->mNow = aNow;
  if (mImpl->mLeads) {
    OnChunk(*mImpl, aSession, aChunk);
  }
}

void
Coordinator::OnWorkloadRequest(SessionId aSession,
                               const protocol::WorkloadRequest& aRequest,
                               base::Time aNow)
{
  mImpl->mNow = aNow;
  if (!mImpl->mLeads) {
    Send(*mImpl, aSession, Redirect(*mImpl));
  } else if (workloads::WorkloadScheduler::NeedsConfirmedRead(aRequest)) {
    mImpl->mForNextRead.emplace_back(
      ConfirmedWorkloadRead{ aSession, aRequest });
  } else {
    mImpl->mScheduler.OnRequest(ToSession(aSession), aRequest, aNow);
  }
}

void
Coordinator::OnWorkerReport(SessionId aSession,
                            const protocol::WorkerReport& aReport,
                            base::Time aNow)
{
  mImpl->mNow = aNow;
  if (!mImpl->mLeads) {
    Send(*mImpl, aSession, Redirect(*mImpl));
    return;
  }
  mImpl->mForNextRead.emplace_back(ConfirmedReport{ aSession, aReport });
}

void
Coordinator::OnSessionClosed(SessionId aSession, base::Time aNow)
{
  mImpl->mNow = aNow;
  CloseClientSession(*mImpl, aSession);
  CloseAgentSession(*mImpl, aSession);
  mImpl->mScheduler.OnSessionClosed(ToSession(aSession));
}

void
Coordinator::SetUnixOffset(std::int64_t aOffsetMs)
{
  mImpl->mScheduler.SetUnixOffset(aOffsetMs);
}

void
Coordinator::Tick(base::Time aNow)
{
  mImpl->mNow = aNow;
  if (mImpl->mLeads) {
    RunTimers(*mImpl);
    mImpl->mScheduler.Tick(aNow);
  }
}

Output
Coordinator::TakeOutput()
{
  TakeScheduled(*mImpl, mImpl->mScheduler);
  if (mImpl->mLeads) {
    ProposeCancels(*mImpl);
    Decide(*mImpl);
    FlushCommands(*mImpl);
    StartRead(*mImpl);
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
