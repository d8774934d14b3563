/** \file
 * Defines workloads, which callers submit as steps of tasks, and the catalog,
 * in which the operator defines queues, pools and client accounts.
 */
#pragma once

#include "dogwooddrum/base/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace dogwooddrum::protocol {

/** Id of a workload, chosen by the caller; unique over all queues. */
using WorkloadId = base::StrongType<struct WorkloadIdTag, std::string>;
/** Name of a queue in the catalog. */
using QueueName = base::StrongType<struct QueueNameTag, std::string>;
/** Name of a pool of targets in the catalog. */
using PoolName = base::StrongType<struct PoolNameTag, std::string>;
/** Counts the starts of a task; the first start is 1. */
using RunNumber = base::StrongType<struct RunNumberTag, std::uint32_t>;
/** Token that increases with each leader and with each incarnation of a target.
 * A target refuses orders with a lower token than the highest one received. */
using FencingToken = base::StrongType<struct FencingTokenTag, std::uint64_t>;
/** Version of a catalog; increases, but not always by one. */
using CatalogVersion =
  base::StrongType<struct CatalogVersionTag, std::uint64_t>;

/** Amounts of the resources of a worker or a task. */
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
  friend bool operator==(const Resources& aLeft, const Resources& aRight)
  {
    return aLeft.mMilliCores == aRight.mMilliCores &&
           aLeft.mMemoryMb == aRight.mMemoryMb &&
           aLeft.mAccelerators == aRight.mAccelerators;
  }
};

/** Tasks with equal resource needs that start independently or, as a gang,
 * together. */
struct WorkloadStep
{
  std::uint32_t mCount = 1;
  Resources mTaskResources; ///< of one task
  std::uint64_t mEstimateMs = 0;
  std::vector<std::uint32_t> mDependsOn; ///< indexes of earlier steps
  bool mCheckpointing = false;
  bool mGang = false;
  bool mSameRack = false;
  bool mSpeculative = false;
  bool mLongRunning = false;    ///< restarted until the workload is cancelled
  bool mFillsIdleCores = false; ///< its cores are not counted against a worker
  std::string mRequiredLabel;
  base::RackId mDataRack;          ///< tasks run slower elsewhere; empty: none
  std::uint32_t mMaxPerWorker = 0; ///< 0: no limit
  std::uint32_t mMaxUnavailable =
    0; ///< tasks that may be down, if long running
  std::uint64_t mLatencyTargetMs = 0; ///< for requests to a long-running task
  std::string mImage;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mCount,
             mTaskResources,
             mEstimateMs,
             mDependsOn,
             mCheckpointing,
             mGang,
             mSameRack,
             mSpeculative,
             mLongRunning,
             mFillsIdleCores,
             mRequiredLabel,
             mDataRack,
             mMaxPerWorker,
             mMaxUnavailable,
             mLatencyTargetMs,
             mImage);
  }
};

struct WorkloadSpec
{
  std::string mPayload; ///< sent to the target with each task
  std::vector<WorkloadStep> mSteps;
  std::uint32_t mRepeatCount = 0; ///< 0: runs once, immediately
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

/** An incarnation of a target, from start to exit. A target may restart under
 * the same id without the state of its earlier incarnation. */
struct TargetIncarnation
{
  std::string mInstance;
  std::int64_t mStartMs = 0; ///< Unix time of its start; 0: not reported
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mInstance, mStartMs);
  }
  friend bool operator==(const TargetIncarnation& aLeft,
                         const TargetIncarnation& aRight)
  {
    return aLeft.mInstance == aRight.mInstance &&
           aLeft.mStartMs == aRight.mStartMs;
  }
  friend bool operator!=(const TargetIncarnation& aLeft,
                         const TargetIncarnation& aRight)
  {
    return !(aLeft == aRight);
  }
  friend bool operator<(const TargetIncarnation& aLeft,
                        const TargetIncarnation& aRight)
  {
    return std::tie(aLeft.mInstance, aLeft.mStartMs) <
           std::tie(aRight.mInstance, aRight.mStartMs);
  }
};

/** Returns the fencing token for calls to an incarnation. The token increases
 * with each incarnation of an id, so that after the first call to an
 * incarnation the target refuses all delayed orders to earlier incarnations. An
 * agent computes it without a leader. Precondition: the incarnation's start is
 * known. Thread safe. */
inline FencingToken
FencingTokenOf(const TargetIncarnation& aTargetIncarnation)
{
  return FencingToken(static_cast<std::uint64_t>(aTargetIncarnation.mStartMs));
}

/** Receives the workloads of callers at a host and path, and defines how they
 * are scheduled. */
struct Queue
{
  QueueName mName;
  std::string mHost;
  std::string mPathPrefix;
  PoolName mPool;
  std::uint32_t mPriority = 0; ///< 0 is the highest priority
  std::uint32_t mMaxAttempts = 1;
  std::uint32_t mSlackPermille = 1000; ///< of the critical path's estimate
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

/** Host and path prefix of a queue, unique within a catalog. They identify the
 * queue to callers, who do not see its name. */
struct QueueAddress
{
  std::string mHost;
  std::string mPathPrefix;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mPathPrefix);
  }
  friend bool operator==(const QueueAddress& aLeft, const QueueAddress& aRight)
  {
    return aLeft.mHost == aRight.mHost &&
           aLeft.mPathPrefix == aRight.mPathPrefix;
  }
  friend bool operator<(const QueueAddress& aLeft, const QueueAddress& aRight)
  {
    return std::tie(aLeft.mHost, aLeft.mPathPrefix) <
           std::tie(aRight.mHost, aRight.mPathPrefix);
  }
};

inline QueueAddress
AddressOf(const Queue& aQueue)
{
  return { aQueue.mHost, aQueue.mPathPrefix };
}

/**
 * Refers to a queue in a request, which may arrive when the leader's catalog is
 * another than the sender's. Encoded as one string, of lines for the name, host
 * and path prefix; the name alone, which earlier versions send, has no address.
 */
struct QueueReference
{
  QueueName mName; ///< in the sender's catalog
  std::optional<QueueAddress> mAddress;

  template<class Archive>
  std::string save_minimal(const Archive& /*aArchive*/) const
  {
    return Format();
  }
  template<class Archive>
  void load_minimal(const Archive& /*aArchive*/, const std::string& aText)
  {
    *this = Parse(aText);
  }

private:
  std::string Format() const;
  static QueueReference Parse(const std::string& aText);
};

/** Returns a reference with the queue's name and address. Thread safe. */
inline QueueReference
ReferenceTo(const Queue& aQueue)
{
  return { aQueue.mName, AddressOf(aQueue) };
}

/** Targets that run the same kind of work. */
struct Pool
{
  PoolName mName;
  bool mTargetsCheckCapacity = false; ///< targets refuse tasks that do not fit
  bool mStandby = false;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mTargetsCheckCapacity, mStandby);
  }
};

/** A client account in the catalog. */
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

/** Limits of callers' requests; 0 means not set. */
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

/** The operator's catalog. Version 0: no catalog has been accepted. */
struct Catalog
{
  CatalogVersion mVersion;
  std::vector<Queue> mQueues;
  std::vector<Pool> mPools;
  std::vector<CatalogAccount> mAccounts;
  RequestLimits mLimits;
  std::string mSource; ///< text that the operator sent
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion, mQueues, mPools, mAccounts, mLimits, mSource);
  }
};

/** Difference between two catalogs, without the source of the newer one. */
struct CatalogDelta
{
  CatalogVersion mBaseVersion; ///< 0: the delta is a whole catalog
  CatalogVersion mVersion;
  std::vector<QueueName> mRemovedQueues; ///< names that no queue has any more
  std::vector<Queue> mQueues; ///< all of each name with a new or changed one
  std::vector<Pool> mPools;
  std::vector<CatalogAccount> mAccounts;
  RequestLimits mLimits;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBaseVersion,
             mVersion,
             mRemovedQueues,
             mQueues,
             mPools,
             mAccounts,
             mLimits);
  }
};

/** Returns the delta from aOld to aNew. Thread safe. */
CatalogDelta
MakeCatalogDelta(const Catalog& aOld, const Catalog& aNew);
/** Returns the newer catalog, without its source, or an empty optional if
 * aOld is not the base of the delta. Thread safe. */
std::optional<Catalog>
ApplyCatalogDelta(const Catalog& aOld, const CatalogDelta& aDelta);

/** Returns the queue on aHost with the longest path prefix that matches aPath,
 * or null. Thread safe. */
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

/** Returns an error message that names the invalid value, or an empty string
 * if the catalog is valid. Thread safe. */
std::string
CheckCatalog(const Catalog& aCatalog);
/** Returns an error message, or an empty string if the workload is valid.
 * Thread safe. */
std::string
CheckWorkload(const WorkloadSpec& aSpec);

} // namespace dogwooddrum::protocol
