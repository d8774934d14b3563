#include "dogwooddrum/cli/Timeline.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

namespace dogwooddrum::cli {

namespace {

using Json = nlohmann::ordered_json;

/** Multiple of the allowed time after which a result counts as very late. */
constexpr std::int64_t kVeryLateFactor = 3;

struct CauseName
{
  const char* mName;
  LossCause mCause;
};

/** Values of "end" of a run that did not end as done, and of "reason" of a
 * stop. */
constexpr std::array<CauseName, 9> kLoggedCauses = { {
  { "preempted", LossCause::Preempted },
  { "stalled", LossCause::Stalled },
  { "target_leaves", LossCause::TargetLeaves },
  { "failed", LossCause::Failed },
  { "never_ran", LossCause::Failed },
  { "broken", LossCause::Gang },
  { "alone", LossCause::Gang },
  { "target_gone", LossCause::TargetLost },
  { "lapsed", LossCause::Lease },
} };

std::optional<LossCause>
CauseOf(const std::string& aLogged)
{
  const auto it = std::find_if(
    kLoggedCauses.begin(), kLoggedCauses.end(), [&](const CauseName& aName) {
      return aName.mName == aLogged;
    });
  return it == kLoggedCauses.end() ? std::nullopt
                                   : std::make_optional(it->mCause);
}

/** A task whose newest run is followed. */
struct TaskState
{
  std::optional<LossCause> mStop;  ///< of the newest run, if it was stopped
  std::optional<LossCause> mCause; ///< why its next run is needed
  std::int64_t mReadyMs = 0;       ///< Unix time since when it waits
};

/** Builds the timelines from lines in order of time. */
class TimelineBuilder
{
public:
  void Add(const LogLine& aLine)
  {
    using Handler = void (TimelineBuilder::*)(const LogLine&);
    static const std::map<std::string, Handler> handlers = {
      { "call_answered", &TimelineBuilder::OnCallAnswered },
      { "workload_accepted", &TimelineBuilder::OnAccepted },
      { "workload_cancelled", &TimelineBuilder::OnCancelled },
      { "workload_ended", &TimelineBuilder::OnEnded },
      { "run_started", &TimelineBuilder::OnRunStarted },
      { "run_stopped", &TimelineBuilder::OnRunStopped },
      { "run_ended", &TimelineBuilder::OnRunEnded },
    };
    const auto it = handlers.find(aLine.mName);
    if (it != handlers.end()) {
      (this->*it->second)(aLine);
    }
  }

  std::vector<WorkloadTimeline> Take() { return std::move(mTimelines); }

private:
  WorkloadTimeline& Timeline(const std::string& aId, std::int64_t aUnixMs)
  {
    const auto [it, isNew] = mIndex.try_emplace(aId, mTimelines.size());
    if (isNew) {
      mTimelines.emplace_back();
      mTimelines.back().mId = aId;
      mTimelines.back().mFirstTryMs = aUnixMs;
    }
    return mTimelines[it->second];
  }

  /** Returns the timeline of the workload of a task, which begins at aLine if
   * the logs begin later than the workload. */
  WorkloadTimeline& TimelineOfTask(const LogLine& aLine)
  {
    const std::string task = aLine.Text("task");
    return Timeline(task.substr(0, task.find('.')), aLine.mUnixMs);
  }

  static void AddPath(WorkloadTimeline& aTimeline,
                      const LogLine& aLine,
                      const std::string& aWhat)
  {
    aTimeline.mPath.push_back({ aLine.mUnixMs, aWhat });
  }

  void OnCallAnswered(const LogLine& aLine)
  {
    constexpr std::int64_t kFirstErrorStatus = 400;
    if (aLine.Text("method") != "submit" ||
        aLine.Number("status").value_or(0) < kFirstErrorStatus) {
      return;
    }
    auto& timeline = Timeline(aLine.Text("workload"), aLine.mUnixMs);
    timeline.mQueue = aLine.Text("queue");
    AddPath(timeline, aLine, "refused: " + aLine.Text("reason"));
  }

  void OnAccepted(const LogLine& aLine)
  {
    auto& timeline = Timeline(aLine.Text("workload"), aLine.mUnixMs);
    timeline.mQueue = aLine.Text("queue");
    timeline.mPriority = aLine.Number("priority").value_or(0);
    timeline.mAllowedMs = aLine.Number("allowed_ms").value_or(0);
    timeline.mAcceptedMs = aLine.mUnixMs;
    timeline.mWaitedMs[static_cast<std::size_t>(LossCause::Refused)] =
      aLine.mUnixMs - timeline.mFirstTryMs;
    AddPath(timeline, aLine, "accepted");
  }

  void OnCancelled(const LogLine& aLine)
  {
    auto& timeline = Timeline(aLine.Text("workload"), aLine.mUnixMs);
    timeline.mPhase = "cancelled";
    AddPath(timeline, aLine, "cancelled");
  }

  void OnEnded(const LogLine& aLine)
  {
    auto& timeline = Timeline(aLine.Text("workload"), aLine.mUnixMs);
    timeline.mPhase = aLine.Text("phase");
    timeline.mEndedMs = aLine.mUnixMs;
    AddPath(timeline, aLine, timeline.mPhase);
  }

  void OnRunStarted(const LogLine& aLine)
  {
    auto& timeline = TimelineOfTask(aLine);
    TaskState& task = mTasks[aLine.Text("task")];
    // The leader counts the wait since the task could start; a new leader
    // counts from its election, so that the end of the last run may be earlier.
    std::int64_t waitedMs = aLine.Number("waited_ms").value_or(0);
    if (task.mCause) {
      waitedMs = std::max(waitedMs, aLine.mUnixMs - task.mReadyMs);
    }
    const LossCause cause = task.mCause.value_or(LossCause::Room);
    auto& longest = timeline.mWaitedMs[static_cast<std::size_t>(cause)];
    longest = std::max(longest, waitedMs);
    task = TaskState();
    AddPath(timeline,
            aLine,
            aLine.Text("task") + " run " + aLine.Text("run") + " starts at " +
              aLine.Text("target") + " after " + std::to_string(waitedMs) +
              " ms: " + ToString(cause));
  }

  void OnRunStopped(const LogLine& aLine)
  {
    auto& timeline = TimelineOfTask(aLine);
    mTasks[aLine.Text("task")].mStop = CauseOf(aLine.Text("reason"));
    AddPath(timeline,
            aLine,
            aLine.Text("task") + " is stopped: " + aLine.Text("reason"));
  }

  void OnRunEnded(const LogLine& aLine)
  {
    auto& timeline = TimelineOfTask(aLine);
    const std::string end = aLine.Text("end");
    AddPath(timeline, aLine, aLine.Text("task") + " ended: " + end);
    TaskState& task = mTasks[aLine.Text("task")];
    if (end == "done") {
      task = TaskState();
      return;
    }
    // A run that was ordered to stop may also end with its target.
    task.mCause = task.mStop ? task.mStop : CauseOf(end);
    task.mReadyMs = aLine.mUnixMs;
    if (task.mCause) {
      timeline.mLostRunMs[static_cast<std::size_t>(*task.mCause)] +=
        aLine.Number("ran_ms").value_or(0);
    }
  }

  std::vector<WorkloadTimeline> mTimelines;
  std::map<std::string, std::size_t> mIndex; ///< in mTimelines, by workload
  std::map<std::string, TaskState> mTasks;
};

double
ToSeconds(std::int64_t aMs)
{
  constexpr double kMsPerSecond = 1000;
  return static_cast<double>(aMs) / kMsPerSecond;
}

/** Sums of all workloads of one priority. */
struct PriorityTotals
{
  std::array<std::int64_t, kServiceLevelCount> mLevels{};
  std::array<std::int64_t, kLossCauseCount> mWaitedMs{};
  std::array<std::int64_t, kLossCauseCount> mLostRunMs{};
  std::array<std::int64_t, kLossCauseCount> mMissed{};
};

void
AddTo(PriorityTotals& aTotals, const WorkloadTimeline& aTimeline)
{
  const ServiceLevel level = ServiceLevelOf(aTimeline);
  ++aTotals.mLevels[static_cast<std::size_t>(level)];
  for (std::size_t i = 0; i < kLossCauseCount; ++i) {
    aTotals.mWaitedMs[i] += aTimeline.mWaitedMs[i];
    aTotals.mLostRunMs[i] += aTimeline.mLostRunMs[i];
  }
  const auto cause = MainCause(aTimeline);
  if (cause &&
      (level == ServiceLevel::Late || level == ServiceLevel::VeryLate)) {
    ++aTotals.mMissed[static_cast<std::size_t>(*cause)];
  }
}

Json
LevelRow(std::int64_t aPriority, const PriorityTotals& aTotals)
{
  Json row;
  row["priority"] = aPriority;
  for (std::size_t i = 0; i < kServiceLevelCount; ++i) {
    row[ToString(static_cast<ServiceLevel>(i))] = aTotals.mLevels.at(i);
  }
  return row;
}

/** Returns a row for each cause by which something was lost. */
std::vector<Json>
CauseRows(std::int64_t aPriority, const PriorityTotals& aTotals)
{
  std::vector<Json> rows;
  for (std::size_t i = 0; i < kLossCauseCount; ++i) {
    if (aTotals.mWaitedMs.at(i) == 0 && aTotals.mLostRunMs.at(i) == 0) {
      continue;
    }
    Json row;
    row["priority"] = aPriority;
    row["cause"] = ToString(static_cast<LossCause>(i));
    row["waited_s"] = ToSeconds(aTotals.mWaitedMs.at(i));
    row["lost_run_s"] = ToSeconds(aTotals.mLostRunMs.at(i));
    row["missed"] = aTotals.mMissed.at(i);
    rows.push_back(std::move(row));
  }
  return rows;
}

} // namespace

const char*
ToString(LossCause aCause)
{
  constexpr std::array<const char*, kLossCauseCount> kNames = {
    "refused", "room", "preempted",   "stalled", "target_leaves",
    "failed",  "gang", "target_lost", "lease"
  };
  return kNames.at(static_cast<std::size_t>(aCause));
}

const char*
ToString(ServiceLevel aLevel)
{
  constexpr std::array<const char*, kServiceLevelCount> kNames = {
    "on_time", "late", "very_late", "unfinished", "cancelled", "failed"
  };
  return kNames.at(static_cast<std::size_t>(aLevel));
}

std::vector<WorkloadTimeline>
BuildTimelines(const LogLines& aLines)
{
  TimelineBuilder builder;
  for (const LogLine& line : aLines.mLines) {
    builder.Add(line);
  }
  return builder.Take();
}

ServiceLevel
ServiceLevelOf(const WorkloadTimeline& aTimeline)
{
  if (aTimeline.mPhase == "cancelled") {
    return ServiceLevel::Cancelled;
  }
  if (aTimeline.mPhase == "failed") {
    return ServiceLevel::Failed;
  }
  if (!aTimeline.mEndedMs) {
    return ServiceLevel::Unfinished;
  }
  const std::int64_t took = *aTimeline.mEndedMs - aTimeline.mFirstTryMs;
  if (aTimeline.mAllowedMs == 0 || took <= aTimeline.mAllowedMs) {
    return ServiceLevel::OnTime;
  }
  return took <= kVeryLateFactor * aTimeline.mAllowedMs
           ? ServiceLevel::Late
           : ServiceLevel::VeryLate;
}

std::optional<LossCause>
MainCause(const WorkloadTimeline& aTimeline)
{
  const auto longest =
    std::max_element(aTimeline.mWaitedMs.begin(), aTimeline.mWaitedMs.end());
  if (*longest == 0) {
    return std::nullopt;
  }
  return static_cast<LossCause>(longest - aTimeline.mWaitedMs.begin());
}

std::string
RenderSummary(const std::vector<WorkloadTimeline>& aTimelines,
              const LogLines& aLines)
{
  std::map<std::int64_t, PriorityTotals> totals;
  for (const WorkloadTimeline& timeline : aTimelines) {
    AddTo(totals[timeline.mPriority], timeline);
  }
  Json out;
  out["summary"] = { { "workloads", aTimelines.size() },
                     { "lines", aLines.mLines.size() },
                     { "unreadable_lines", aLines.mUnreadable } };
  out["levels"] = Json::array();
  out["causes"] = Json::array();
  for (const auto& [priority, sums] : totals) {
    out["levels"].push_back(LevelRow(priority, sums));
    for (const Json& row : CauseRows(priority, sums)) {
      out["causes"].push_back(row);
    }
  }
  return out.dump();
}

std::string
RenderCsv(const std::vector<WorkloadTimeline>& aTimelines)
{
  std::ostringstream out;
  out << "workload,queue,priority,first_try_ms,allowed_ms,took_ms,level,cause";
  for (std::size_t i = 0; i < kLossCauseCount; ++i) {
    out << ',' << ToString(static_cast<LossCause>(i)) << "_ms";
  }
  out << '\n';
  for (const WorkloadTimeline& timeline : aTimelines) {
    const auto cause = MainCause(timeline);
    out << timeline.mId << ',' << timeline.mQueue << ',' << timeline.mPriority
        << ',' << timeline.mFirstTryMs << ',' << timeline.mAllowedMs << ',';
    if (timeline.mEndedMs) {
      out << *timeline.mEndedMs - timeline.mFirstTryMs;
    }
    out << ',' << ToString(ServiceLevelOf(timeline)) << ','
        << (cause ? ToString(*cause) : "");
    for (const std::int64_t ms : timeline.mWaitedMs) {
      out << ',' << ms;
    }
    out << '\n';
  }
  return out.str();
}

std::string
RenderPath(const WorkloadTimeline& aTimeline)
{
  std::ostringstream out;
  for (const PathEntry& entry : aTimeline.mPath) {
    out << '+' << std::fixed << std::setprecision(3)
        << ToSeconds(entry.mUnixMs - aTimeline.mFirstTryMs) << " s "
        << entry.mWhat << '\n';
  }
  return out.str();
}

} // namespace dogwooddrum::cli
