/** \file
 * Defines the stand-in of a minion, and the record of a case.
 */
#pragma once

#include "Http.h"

#include <condition_variable>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace review {

/** What clients and minions have seen, with times since the case began. Thread
 * safe. */
class Record
{
public:
  /** Writes to the file aPath. */
  explicit Record(const std::string& aPath);

  void Add(const std::string& aWho, const std::string& aWhat);
  std::int64_t NowMs() const { return review::NowMs() - mBegin; }

  struct Start
  {
    std::int64_t mAtMs = 0;
    std::string mTask;
    std::uint64_t mRun = 0;
    std::string mMinion;
    std::int64_t mEndMs = -1; ///< -1: it works on
    std::string mEnd;
  };
  std::size_t AddStart(Start aStart);
  void SetEnd(std::size_t aStart, const std::string& aEnd);
  /** Returns all starts of tasks of the job. */
  std::vector<Start> StartsOf(const std::string& aJob) const;

private:
  const std::int64_t mBegin = review::NowMs();
  mutable std::mutex mMutex; ///< guards the members below
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> mFile;
  std::vector<Start> mStarts;
};

struct MinionOptions
{
  std::string mName;
  std::string mIp; ///< of its machine
  std::uint16_t mAppPort = 0;
  std::uint16_t mControlPlanePort = 0; ///< of the agent on its machine
  std::string mService;
  std::string mZone;
  std::string mRack;
};

/** A minion on one machine, life after life. Runs tasks as timers: the spec of
 * a job is "ms=N", the time that each of its tasks works. Thread safe. */
class Minion
{
public:
  Minion(MinionOptions aOptions, Record& aRecord);
  /** Ends without a word. */
  ~Minion();

  /** Begins a life under a new id. Precondition: none is present. */
  void Begin();
  /** Ends the present life without a word, with all that runs. */
  void Crash();
  /** Says that it drains, serves on for aServeMs after the acknowledgement,
   * says that it leaves, and ends. Returns once it is gone. */
  void Leave(std::int64_t aServeMs);
  const std::string& Name() const { return mOptions.mName; }

private:
  using Json = nlohmann::json;
  struct Run
  {
    std::uint64_t mNumber = 0;
    std::int64_t mBeganMs = 0;
    std::int64_t mWorkMs = 0; ///< 0: until it is stopped
    std::int64_t mEndsMs = 0; ///< 0: not known
    std::string mEnd;
    std::size_t mStart = 0; ///< in the record
  };

  std::int64_t ClockMs() const { return NowMs() - mLifeBegan; }
  Response Handle(const Request& aRequest);
  void HandleStart(const Json& aBody, Response& aResponse, Json& aAnswer);
  void HandleStop(const Json& aBody);
  void HandleHold(const Json& aBody,
                  Json& aAnswer,
                  std::unique_lock<std::mutex>& aLock);
  void EndDueRuns();
  void EndRun(const std::string& aTask, const std::string& aEnd);
  void End(const std::string& aHow);
  void Beat();
  bool SendBeat();

  const MinionOptions mOptions;
  Record& mRecord;
  std::mutex mMutex; ///< guards the members below
  std::condition_variable mChanged;
  bool mStopped = false;
  bool mPresent = false;
  bool mDraining = false;
  std::string mId;
  std::int64_t mBorn = 0;
  std::int64_t mLifeBegan = 0;
  std::uint64_t mSequence = 0;
  std::uint64_t mToken = 0;
  std::int64_t mLeaseUntil = 0;
  std::map<std::string, Run> mRuns;
  std::map<std::string, std::uint64_t> mHighestEnded;
  std::vector<Json> mEnded;
  std::uint64_t mLastEnd = 0;
  std::unique_ptr<Server> mServer; ///< not used by its own threads
  std::thread mBeatThread;
};

} // namespace review
