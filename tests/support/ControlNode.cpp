#include "tests/support/ControlNode.h"

namespace dogwooddrum::support {

namespace {

constexpr base::Duration kTick = base::Milliseconds(10);
const char* const kFolder = "data";

} // namespace

ControlNode::ControlNode(Simulation& aSimulation,
                         const NodeHooks& aHooks,
                         std::string aName,
                         base::MemberId aId,
                         consensus::Membership aInitial)
  : mSimulation(aSimulation)
  , mHooks(aHooks)
  , mName(std::move(aName))
  , mId(aId)
  , mInitial(std::move(aInitial))
{
}

bool
ControlNode::IsLeader() const
{
  return IsRunning() && mRaft->CurrentRole() == consensus::Role::Leader;
}

void
ControlNode::Start()
{
  if (IsRunning()) {
    return;
  }
  state::StorageOptions options;
  options.mFolder = kFolder;
  options.mSegmentBytes = 2000; // small, so that tests use several segments
  options.mIsExistingMember = mHasDisk;
  auto storage = state::Storage::Open(mFiles, options, mId);
  if (!storage) {
    mHooks.mLog(mName + " failed to start: " + storage.LastFailure().mMessage);
    return;
  }
  mStorage = std::move(*storage);
  mHasDisk = true;
  auto recovered = mStorage->TakeRecoveredState();
  if (mInjectedFault == InjectedFault::ReuseIndex) {
    auto& entries = recovered.mEntries;
    entries.resize(entries.size() - std::min<std::size_t>(entries.size(), 5));
  }
  recovered.mInitialMembership = mInitial;
  consensus::RaftOptions raft;
  raft.mSelf = mId;
  raft.mSeed = mSimulation.Random()();
  raft.mMaxBatchBytes = 2000;
  raft.mSnapshotChunkBytes = mChunkBytes;
  raft.mCompactionTailBytes = 500;
  mAppliedIndex = base::LogIndex();
  mLastSnapshotIndex = base::LogIndex();
  mApplication = mHooks.mMakeApplication(*this);
  mRaft = std::make_unique<consensus::Raft>(raft, recovered, mSimulation.Now());
  Tick(++mGeneration);
}

void
ControlNode::Kill()
{
  if (IsRunning()) {
    EndProcess();
    mFiles.Crash(mSimulation.Random(), mSimulation.Chance(70));
  }
}

void
ControlNode::LosePower()
{
  if (IsRunning()) {
    EndProcess();
    mFiles.Crash(mSimulation.Random(), true);
  }
}

void
ControlNode::EndProcess()
{
  if (mLogJobRunning && mSimulation.Chance(50)) {
    mFiles.mRemainingChanges = mSimulation.Random()() % 6;
    std::vector<consensus::PersistWork> ignored;
    RunLogJob(ignored);
  }
  ++mGeneration;
  mFrozen = false;
  mLogJobRunning = false;
  mDeferredEvents.clear();
  mLogJobs.clear();
  mRaft.reset();
  mApplication.reset();
  mStorage.reset();
}

void
ControlNode::Thaw()
{
  mFrozen = false;
  auto events = std::move(mDeferredEvents);
  mDeferredEvents.clear();
  for (const auto& event : events) {
    Step(event);
  }
}

void
ControlNode::LoseDisk(base::MemberId aNewId)
{
  Kill();
  mFiles.Erase();
  mId = aNewId;
  mInitial = {};
  mHasDisk = false;
}

void
ControlNode::ReplaceDisk(base::MemberId aNewId)
{
  LoseDisk(aNewId);
  Start();
}

void
ControlNode::Step(const std::function<void()>& aEvent)
{
  if (!IsRunning()) {
    return;
  }
  if (mFrozen) {
    mDeferredEvents.push_back(aEvent);
    return;
  }
  const std::uint64_t generation = mGeneration;
  aEvent();
  if (generation == mGeneration) {
    ProcessReady();
  }
}

void
ControlNode::Tick(std::uint64_t aGeneration)
{
  if (aGeneration != mGeneration) {
    return;
  }
  // The first tick after a start must not run within the caller's event.
  mSimulation.After(kTick, [this, aGeneration] {
    if (aGeneration != mGeneration) {
      return;
    }
    if (!mFrozen) {
      Step([this] { mRaft->Tick(mSimulation.Now()); });
    }
    Tick(aGeneration);
  });
}

void
ControlNode::ProcessReady()
{
  do {
    HandleReady(mRaft->TakeReady());
    mHooks.mOnStepped(*this);
  } while (mApplication->ProcessOutput());
  SnapshotIfDue();
  StartLogJob();
}

void
ControlNode::HandleReady(consensus::Ready aReady)
{
  if (aReady.mPersist) {
    mLogJobs.emplace_back(std::move(*aReady.mPersist));
  }
  if (aReady.mRestore) {
    mApplication->Restore(aReady.mRestore->mState);
    mHooks.mOnRestored(*this, *aReady.mRestore);
    mAppliedIndex = aReady.mRestore->mIndex;
    mAppliedTerm = aReady.mRestore->mTerm;
    mLastSnapshotIndex = mAppliedIndex;
  }
  for (const auto& entry : aReady.mCommitted) {
    mHooks.mOnApplied(*this, entry);
    mApplication->Apply(entry);
    mAppliedIndex = entry.mIndex;
    mAppliedTerm = entry.mTerm;
  }
  for (const auto read : aReady.mConfirmedReads) {
    mApplication->ReadDone(read, true);
  }
  for (const auto read : aReady.mFailedReads) {
    mApplication->ReadDone(read, false);
  }
  for (const auto& message : aReady.mMessages) {
    mHooks.mSend(*this, message);
  }
}

void
ControlNode::SnapshotIfDue()
{
  if (mAppliedIndex.Value() < mLastSnapshotIndex.Value() + mSnapshotInterval) {
    return;
  }
  mLastSnapshotIndex = mAppliedIndex;
  mLogJobs.emplace_back(consensus::Snapshot{ mAppliedIndex,
                                             mAppliedTerm,
                                             mRaft->MembershipAt(mAppliedIndex),
                                             mApplication->Save() });
}

void
ControlNode::StartLogJob()
{
  if (mLogJobRunning || mLogJobs.empty()) {
    return;
  }
  mLogJobRunning = true;
  const std::uint64_t generation = mGeneration;
  mSimulation.After(mSimulation.RandomBetween(mDiskDelay / 2, mDiskDelay * 2),
                    [this, generation] {
                      if (generation == mGeneration) {
                        Step([this] { FinishLogJob(); });
                      }
                    });
}

base::Outcome<bool>
ControlNode::RunLogJob(std::vector<consensus::PersistWork>& aDone)
{
  if (const auto* snapshot =
        std::get_if<consensus::Snapshot>(&mLogJobs.front())) {
    return mStorage->SaveSnapshot(*snapshot);
  }
  for (const LogJob& job : mLogJobs) {
    const auto* work = std::get_if<consensus::PersistWork>(&job);
    if (work == nullptr) {
      break;
    }
    aDone.push_back(*work);
  }
  return mStorage->Persist(aDone);
}

void
ControlNode::FinishLogJob()
{
  mLogJobRunning = false;
  std::vector<consensus::PersistWork> done;
  const auto outcome = RunLogJob(done);
  if (!outcome) {
    mHooks.mLog(mName + " stops voting and leading, storage failed: " +
                outcome.LastFailure().mMessage);
    mLogJobs.clear();
    mRaft->OnStorageFailed(mSimulation.Now());
  } else if (done.empty()) {
    mRaft->Compact(std::get<consensus::Snapshot>(mLogJobs.front()));
    mLogJobs.pop_front();
  } else {
    mLogJobs.erase(mLogJobs.begin(),
                   mLogJobs.begin() + static_cast<std::ptrdiff_t>(done.size()));
    mRaft->OnPersisted(done.back().mId, mSimulation.Now());
  }
}

} // namespace dogwooddrum::support
