/** \file
 * Defines StorageThread, the thread of a control member that writes its log and
 * snapshots to disk.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/state/Storage.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace dogwooddrum::daemon {

/** A write to the log that was synced to disk. */
struct SyncResult
{
  coordination::consensus::PersistId mId; ///< the newest of the written work
  std::size_t mEntries = 0;
  base::Duration mDuration{};
};

/** Callbacks of a StorageThread, run on its thread. */
struct StorageThreadEvents
{
  std::function<void(const SyncResult&)> mSynced;
  std::function<void(const coordination::consensus::Snapshot&)> mSnapshotSaved;
  /** Called at most once, for a failed write; nothing is written afterwards. */
  std::function<void(const base::Failure&)> mFailed;
};

/**
 * Owns a Storage. Work that is queued during one sync is written together with
 * the next sync (group commit).
 */
class StorageThread
{
public:
  StorageThread(std::unique_ptr<state::Storage> aStorage,
                StorageThreadEvents aEvents);
  /** Calls Stop. */
  ~StorageThread();
  StorageThread(const StorageThread&) = delete;
  StorageThread& operator=(const StorageThread&) = delete;

  void Start();
  /** Ends the thread. Queued work that was not started is dropped. */
  void Stop();
  /** Queues work. Thread safe. */
  void Persist(coordination::consensus::PersistWork aWork);
  /** Queues a snapshot in place of one that is still queued. Thread safe. */
  void SaveSnapshot(
    std::shared_ptr<const coordination::consensus::Snapshot> aSnapshot);

private:
  using Work = std::vector<coordination::consensus::PersistWork>;
  using SnapshotPtr = std::shared_ptr<const coordination::consensus::Snapshot>;

  void Run();
  bool WriteWork(const Work& aWork);
  bool WriteSnapshot(const coordination::consensus::Snapshot& aSnapshot);

  const std::unique_ptr<state::Storage> mStorage;
  const StorageThreadEvents mEvents;
  std::mutex mMutex; ///< guards the members below
  std::condition_variable mWake;
  Work mWork;
  SnapshotPtr mSnapshot; ///< the newest that is queued
  bool mStopped = false;
  std::thread mThread;
};

} // namespace dogwooddrum::daemon
