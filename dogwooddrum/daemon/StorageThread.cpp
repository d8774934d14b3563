#include "dogwooddrum/daemon/StorageThread.h"

#include "dogwooddrum/daemon/Clock.h"

#include <utility>

namespace dogwooddrum::daemon {

namespace {

/** Log writes that may be done before a waiting snapshot. Without a limit the
 * log would grow for as long as writes keep coming. */
constexpr int kMaxWritesBeforeSnapshot = 8;

} // namespace

StorageThread::StorageThread(std::unique_ptr<state::Storage> aStorage,
                             StorageThreadEvents aEvents)
  : mStorage(std::move(aStorage))
  , mEvents(std::move(aEvents))
{
}

StorageThread::~StorageThread()
{
  Stop();
}

void
StorageThread::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
StorageThread::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopped = true;
  }
  mWake.notify_one();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
StorageThread::Persist(coordination::consensus::PersistWork aWork)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mWork.push_back(std::move(aWork));
  }
  mWake.notify_one();
}

void
StorageThread::SaveSnapshot(SnapshotPtr aSnapshot)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mSnapshot = std::move(aSnapshot);
  }
  mWake.notify_one();
}

void
StorageThread::Run()
{
  bool succeeded = true;
  int writesBeforeSnapshot = 0;
  while (succeeded) {
    Work work;
    SnapshotPtr snapshot;
    {
      std::unique_lock<std::mutex> lock(mMutex);
      mWake.wait(lock,
                 [this] { return mStopped || mSnapshot || !mWork.empty(); });
      if (mStopped) {
        return;
      }
      // The log is written first: commits wait for its sync, not for a
      // snapshot.
      if (mSnapshot &&
          (mWork.empty() || writesBeforeSnapshot >= kMaxWritesBeforeSnapshot)) {
        snapshot.swap(mSnapshot);
        writesBeforeSnapshot = 0;
      } else {
        work.swap(mWork);
        writesBeforeSnapshot += mSnapshot ? 1 : 0;
      }
    }
    succeeded = snapshot ? WriteSnapshot(*snapshot) : WriteWork(work);
  }
}

bool
StorageThread::WriteWork(const Work& aWork)
{
  const auto begin = Now();
  const auto written = mStorage->Persist(aWork);
  if (!written) {
    mEvents.mFailed(written.LastFailure());
    return false;
  }
  SyncResult synced;
  synced.mId = aWork.back().mId;
  for (const auto& work : aWork) {
    synced.mEntries += work.mEntries.size();
  }
  synced.mDuration = Now() - begin;
  mEvents.mSynced(synced);
  return true;
}

bool
StorageThread::WriteSnapshot(const coordination::consensus::Snapshot& aSnapshot)
{
  const auto written = mStorage->SaveSnapshot(aSnapshot);
  if (!written) {
    mEvents.mFailed(written.LastFailure());
    return false;
  }
  mEvents.mSnapshotSaved(aSnapshot);
  return true;
}

} // namespace dogwooddrum::daemon
