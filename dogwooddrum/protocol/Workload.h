/** \file
 * Defines a workload, the request of a caller for steps of tasks, and the
 * catalog, the operator's document that says who may submit what to where.
 */
#pragma once

#include "dogwooddrum/base/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace dogwooddrum::protocol {

/** Id that the caller gave its workload; unique over all queues. */
using WorkloadId = base::StrongType<struct WorkloadIdTag, std::string>;
/** Name of a queue in the catalog. */
using QueueName = base::StrongType<struct QueueNameTag, std::string>;
/** Name of a pool of targets in the catalog. */
using PoolName = base::StrongType<struct PoolNameTag, std::string>;
/** Number of a start of a task; the first is 1. */
using RunNumber = base::StrongType<struct RunNumberTag, std::uint32_t>;
/** Number that rises with each leader and with each life of a target; a target
 * refuses orders with a lower one than it has seen. */
using FencingToken = base::StrongType<struct FencingTokenTag, std::uint64_t>;
/** Version of a catalog; rises in uneven steps. */
using CatalogVersion =
  base::StrongType<struct CatalogVersionTag, std::uint64_t>;

/** An amount of each resource of a worker. */
struct Resources
{
  std::uint64_t mMilliCores = 0;
  std::uint64_t mMemoryMb = 0;
  std::uint64_t mAccelerators = 0;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMilliCores, mMemoryMb, mAccelerators);
  }
};

/** Tasks of one shape that start together or one by one. */
struct WorkloadStep
{
  std::uint32_t mCount = 1;
  Resources mEach; ///< of one task
  std::uint64_t mEstimateMs = 0;
  std::vector<std::uint32_t> mDependsOn; ///< indexes of earlier steps
  bool mCheckpointing = false;
  bool mGang = false;
  bool mSameRack = false;
  bool mSpeculative = false;
  bool mLongRunning = false; ///< restarted until the workload is cancelled
  bool mFillsIdle = false;   ///< its cores are not counted against a worker
  std::string mRequiredLabel;
  base::RackId mDataRack;             ///< slower on other racks; empty: none
  std::uint32_t mMaxPerWorker = 0;    ///< 0: no limit
  std::uint32_t mMayMiss = 0;         ///< long-running tasks that may be away
  std::uint64_t mLatencyTargetMs = 0; ///< of a long-running task's own users
  std::string mImage;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mCount,
             mEach,
             mEstimateMs,
             mDependsOn,
             mCheckpointing,
             mGang,
             mSameRack,
             mSpeculative,
             mLongRunning,
             mFillsIdle,
             mRequiredLabel,
             mDataRack,
             mMaxPerWorker,
             mMayMiss,
             mLatencyTargetMs,
             mImage);
  }
};

struct WorkloadSpec
{
  std::string mPayload; ///< passed on to the target with each task
  std::vector<WorkloadStep> mSteps;
  std::uint32_t mRepeatCount = 0; ///< 0: once and at once
  std::int64_t mFirstMs = 0;      ///< Unix time of the first occurrence
  std::int64_t mIntervalMs = 0;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPayload, mSteps, mRepeatCount, mFirstMs, mIntervalMs);
  }
};

/** One task of one occurrence of a workload. */
struct TaskId
{
  WorkloadId mWorkload;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWorkload, mOccurrence, mStep, mIndex);
  }
  friend bool operator==(const TaskId& aLeft, const TaskId& aRight)
  {
    return aLeft.Key() == aRight.Key();
  }
  friend bool operator<(const TaskId& aLeft, const TaskId& aRight)
  {
    return aLeft.Key() < aRight.Key();
  }

private:
  std::tuple<const WorkloadId&, std::uint32_t, std::uint32_t, std::uint32_t>
  Key() const
  {
    return { mWorkload, mOccurrence, mStep, mIndex };
  }
};

/** One start of a task. */
struct RunId
{
  TaskId mTask;
  RunNumber mRun;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTask, mRun);
  }
  friend bool operator==(const RunId& aLeft, const RunId& aRight)
  {
    return aLeft.mTask == aRight.mTask && aLeft.mRun == aRight.mRun;
  }
  friend bool operator<(const RunId& aLeft, const RunId& aRight)
  {
    return std::tie(aLeft.mTask, aLeft.mRun) <
           std::tie(aRight.mTask, aRight.mRun);
  }
};

/** One life of a target: an id may start again, knowing nothing of before. */
struct TargetLife
{
  std::string mInstance;
  std::int64_t mBornMs = 0; ///< Unix time of its start; 0: not told
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mInstance, mBornMs);
  }
  friend bool operator==(const TargetLife& aLeft, const TargetLife& aRight)
  {
    return aLeft.mInstance == aRight.mInstance &&
           aLeft.mBornMs == aRight.mBornMs;
  }
  friend bool operator!=(const TargetLife& aLeft, const TargetLife& aRight)
  {
    return !(aLeft == aRight);
  }
  friend bool operator<(const TargetLife& aLeft, const TargetLife& aRight)
  {
    return std::tie(aLeft.mInstance, aLeft.mBornMs) <
           std::tie(aRight.mInstance, aRight.mBornMs);
  }
};

/** Returns the fencing token for calls to a life. It rises from life to life
 * of an id, so that the first call to a life makes its target refuse all
 * delayed orders to earlier lives. An agent needs no leader to know it.
 * Precondition: the life's start is known. Thread safe. */
inline FencingToken
FenceOf(const TargetLife& aLife)
{
  return FencingToken(static_cast<std::uint64_t>(aLife.mBornMs));
}

/** Where callers submit, and how what they submit is treated. */
struct Queue
{
  QueueName mName;
  std::string mHost;
  std::string mPathPrefix;
  PoolName mPool;
  std::uint32_t mPriority = 0; ///< 0 comes first
  std::uint32_t mMaxAttempts = 1;
  std::uint32_t mSlackPermille = 1000; ///< of the longest chain of work
  std::uint64_t mTargetRunTimeMs = 0;
  std::uint64_t mTimeoutMs = 0; ///< of one call
  bool mPublic = false;         ///< callers need no key
  friend bool operator==(const Queue& aLeft, const Queue& aRight)
  {
    const auto key = [](const Queue& aQueue) {
      return std::tie(aQueue.mName,
                      aQueue.mHost,
                      aQueue.mPathPrefix,
                      aQueue.mPool,
                      aQueue.mPriority,
                      aQueue.mMaxAttempts,
                      aQueue.mSlackPermille,
                      aQueue.mTargetRunTimeMs,
                      aQueue.mTimeoutMs,
                      aQueue.mPublic);
    };
    return key(aLeft) == key(aRight);
  }
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName,
             mHost,
             mPathPrefix,
             mPool,
             mPriority,
             mMaxAttempts,
             mSlackPermille,
             mTargetRunTimeMs,
             mTimeoutMs,
             mPublic);
  }
};

/** Targets that run the same kind of work. */
struct Pool
{
  PoolName mName;
  bool mTargetsCheckRoom = false; ///< a target refuses what does not fit
  bool mStandby = false;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mTargetsCheckRoom, mStandby);
  }
};

/** A client account as the catalog names it. */
struct CatalogAccount
{
  base::AccountId mName;
  std::vector<std::string> mKeys;
  std::uint64_t mGuaranteedAccelerators = 0; ///< for its priority-0 work
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mKeys, mGuaranteedAccelerators);
  }
};

/** Limits of callers' requests; 0 stands for "not set". */
struct RequestLimits
{
  std::uint64_t mHeaderBytes = 0;
  std::uint64_t mBodyBytes = 0;
  std::uint64_t mHeaderTimeoutMs = 0;
  std::uint64_t mIdleTimeoutMs = 0;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHeaderBytes, mBodyBytes, mHeaderTimeoutMs, mIdleTimeoutMs);
  }
};

/** The operator's document. Version 0: none was accepted yet. */
struct Catalog
{
  CatalogVersion mVersion;
  std::vector<Queue> mQueues;
  std::vector<Pool> mPools;
  std::vector<CatalogAccount> mAccounts;
  RequestLimits mLimits;
  std::string mSource; ///< as the operator sent it
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion, mQueues, mPools, mAccounts, mLimits, mSource);
  }
};

/** What makes a newer catalog out of an older one, without its source. */
struct CatalogDelta
{
  CatalogVersion mBase; ///< 0: the delta holds everything
  CatalogVersion mVersion;
  std::vector<QueueName> mRemovedQueues;
  std::vector<Queue> mQueues; ///< new or changed
  std::vector<Pool> mPools;
  std::vector<CatalogAccount> mAccounts;
  RequestLimits mLimits;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(
      mBase, mVersion, mRemovedQueues, mQueues, mPools, mAccounts, mLimits);
  }
};

/** Returns the delta from aOld to aNew. Thread safe. */
CatalogDelta
DeltaOf(const Catalog& aOld, const Catalog& aNew);
/** Returns the newer catalog, without a source; an empty optional if the delta
 * does not build on aOld. Thread safe. */
std::optional<Catalog>
ApplyDelta(const Catalog& aOld, const CatalogDelta& aDelta);

/** Returns the queue with the longest prefix of aPath on aHost, or null.
 * Thread safe. */
const Queue*
FindQueue(const Catalog& aCatalog,
          const std::string& aHost,
          const std::string& aPath);
/** Returns the queue of that name, or null. Thread safe. */
const Queue*
FindQueue(const Catalog& aCatalog, const QueueName& aName);
/** Returns the account that holds aKey, or null. Thread safe. */
const CatalogAccount*
FindAccountByKey(const Catalog& aCatalog, const std::string& aKey);
/** Returns the account of that name, or null. Thread safe. */
const CatalogAccount*
FindCatalogAccount(const Catalog& aCatalog, const base::AccountId& aName);

/** Returns why the catalog cannot be accepted, naming the value; empty if it
 * can. Thread safe. */
std::string
CheckCatalog(const Catalog& aCatalog);
/** Returns why the workload cannot be accepted; empty if it can. Thread
 * safe. */
std::string
CheckWorkload(const WorkloadSpec& aSpec);

} // namespace dogwooddrum::protocol
