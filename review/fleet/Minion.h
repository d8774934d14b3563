/** \file
 * Defines Minion, a stand-in for a minion of the platform, and Record, the
 * record of a case.
 */
#pragma once

#include "review/fleet/Http.h"

#include <fstream>
#include <memory>

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;

/** Writes lines with the time since its creation. Thread safe. */
class Record
{
public:
  explicit Record(const std::string& aFile)
    : mOut(aFile)
  {
  }
  void Add(const std::string& aLine);
  std::int64_t ElapsedMs() const { return NowMs() - mBeganMs; }

private:
  const std::int64_t mBeganMs = NowMs();
  std::mutex mMutex;
  std::ofstream mOut;
};

/** A task that a minion has begun. */
struct Start
{
  std::string mMinion;
  std::string mTask;
  std::uint32_t mRun = 0;
  std::int64_t mAtMs = 0;
  std::string mEnd; ///< empty: runs
  std::int64_t mEndedAtMs = 0;
  /** Its end was acknowledged and the lease had not lapsed since. */
  bool mIsNoted = false;
};

/** The starts on all minions. Thread safe. */
class Starts
{
public:
  void Add(const Start& aStart);
  void End(const std::string& aTask,
           std::uint32_t aRun,
           const std::string& aMinion,
           const std::string& aEnd);
  /** Marks the end of a run as taken note of. */
  void Note(const std::string& aTask,
            std::uint32_t aRun,
            const std::string& aMinion);
  /** Returns the starts of tasks whose names begin with aPrefix. */
  std::vector<Start> Of(const std::string& aPrefix) const;

private:
  mutable std::mutex mMutex;
  std::vector<Start> mStarts;
};

struct MinionOptions
{
  std::string mId;
  Address mAddress;    ///< where it takes calls
  Address mAnnounceTo; ///< of the agent on its machine
  std::string mZone;
  std::string mService = "works";
  std::string mRack = "r1";
  std::uint64_t mCores = 8; ///< in whole cores; as many accelerators
  /** Returns for how long a task works. */
  std::function<std::int64_t(const std::string& aTask)> mWorkMs;
  std::string mEnd = "done"; ///< how a task ends once it has worked its time
};

/** Runs tasks as PROTOCOL.md says. The members of a gang are expected to have
 * equal times of work. Thread safe. */
class Minion
{
public:
  Minion(MinionOptions aOptions, Record& aRecord, Starts& aStarts);
  ~Minion();
  Minion(const Minion&) = delete;
  Minion& operator=(const Minion&) = delete;

  bool IsOpen() const { return mServer->IsOpen(); }
  /** Leaves the next order to start a task unanswered and carries it out
   * aLateMs later; 0: answers the next one. */
  void DelayNextStart(std::int64_t aLateMs);
  /** While cut off, answers nobody, and its heartbeats are lost. */
  void CutOff(bool aIsCutOff);
  /** Crashes and starts again under its id. */
  void StartAgain();

private:
  struct Run
  {
    std::uint32_t mNumber = 0;
    std::int64_t mBeganMs = 0;
    std::int64_t mWorkMs = 0;
    std::int64_t mStopAtMs = 0; ///< 0: not being stopped
  };

  void Serve(int aSocket);
  int Handle(const std::string& aPath, const Json& aCall, Json& aAnswer);
  int HandleStart(const Json& aCall, Json& aAnswer);
  void HandleStop(const Json& aCall);
  void HandleHold(const Json& aCall, Json& aAnswer);
  void EndDueRuns();
  void EndRun(const std::string& aTask, const std::string& aHow);
  void Announce();
  /** Returns whether the call is left unanswered. */
  bool IsUnanswered(const std::string& aPath, const Json& aCall);
  void CarryOutLateStarts();
  std::int64_t ClockMs() const { return NowMs() - mBornMs; }

  const MinionOptions mOptions;
  Record& mRecord;
  Starts& mStarts;
  std::atomic<bool> mStopped{ false };
  std::mutex mMutex; ///< guards the members below
  std::int64_t mBornMs = NowMs();
  std::int64_t mBornUnixMs;
  std::uint64_t mSequence = 0;
  std::int64_t mNextBeatMs = NowMs();
  bool mIsCutOff = false;
  std::int64_t mNextStartLateMs = 0;
  std::vector<std::pair<std::int64_t, Json>> mLateStarts; ///< by due time
  std::uint64_t mToken = 0;
  std::int64_t mDeadlineMs = 0;
  std::map<std::string, Run> mRuns;
  std::map<std::string, std::uint32_t> mHighestEnded; ///< run, by task
  Json mEnded = Json::array();
  std::uint64_t mLastEnd = 0;
  std::int64_t mLapsedAtMs = 0; ///< when the lease was last seen lapsed
  std::map<std::uint64_t, std::int64_t> mEndTimes; ///< by number of the end
  std::unique_ptr<SocketServer> mServer;
  std::thread mAnnounceThread;
};

} // namespace review
