// Guards against an account of lost time that blames the wrong cause, and
// against logs that are cut, mixed, shuffled or of other programs.
#include "dogwooddrum/cli/Timeline.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

namespace dogwooddrum::cli {
namespace {

/** Returns a log line aMs after the start of the log. */
std::string
Line(int aMs, const std::string& aName, const std::string& aFields)
{
  std::ostringstream out;
  const int second = aMs / 1000;
  out << "2026-12-04T10:00:" << (second < 10 ? "0" : "") << second << '.';
  const int fraction = aMs % 1000;
  out << (fraction < 100 ? "0" : "") << (fraction < 10 ? "0" : "") << fraction
      << "Z level=info event=1 name=" << aName << " text=\"a \\\"b\\\" c\" "
      << aFields << '\n';
  return out.str();
}

std::string
Accepted(int aMs, const std::string& aId = "w")
{
  return Line(aMs,
              "workload_accepted",
              "workload=" + aId + " queue=q priority=1 allowed_ms=1000");
}

std::string
Started(int aMs, int aRun, int aWaitedMs)
{
  return Line(aMs,
              "run_started",
              "task=w.0.0.0 run=" + std::to_string(aRun) +
                " target=i-1 waited_ms=" + std::to_string(aWaitedMs));
}

std::string
Stopped(int aMs, const std::string& aReason)
{
  return Line(aMs, "run_stopped", "task=w.0.0.0 run=1 reason=" + aReason);
}

std::string
Ended(int aMs, const std::string& aEnd, int aRanMs)
{
  return Line(aMs,
              "run_ended",
              "task=w.0.0.0 run=1 end=" + aEnd +
                " ran_ms=" + std::to_string(aRanMs));
}

std::string
Completed(int aMs)
{
  return Line(aMs, "workload_ended", "workload=w phase=complete age_ms=1");
}

LogLines
Read(const std::string& aText)
{
  std::istringstream input(aText);
  LogLines lines;
  ReadLogLines(input, lines);
  return lines;
}

WorkloadTimeline
OnlyTimeline(const std::string& aText)
{
  const auto timelines = BuildTimelines(Read(aText));
  EXPECT_EQ(timelines.size(), 1U);
  return timelines.empty() ? WorkloadTimeline() : timelines.front();
}

struct LossCase
{
  const char* mStopReason; ///< empty: not stopped
  const char* mEnd;
  LossCause mCause;
};

class LogTimelineCauses : public testing::TestWithParam<LossCase>
{};

TEST_P(LogTimelineCauses, SecondRunIsBlamedOnTheEndOfTheFirst)
{
  const LossCase& loss = GetParam();
  std::string text = Accepted(0) + Started(100, 1, 100);
  if (*loss.mStopReason != '\0') {
    text += Stopped(500, loss.mStopReason);
  }
  text += Ended(600, loss.mEnd, 500) + Started(1400, 2, 50) +
          Ended(1900, "done", 500) + Completed(1910);
  const auto timeline = OnlyTimeline(text);
  const auto cause = static_cast<std::size_t>(loss.mCause);
  EXPECT_EQ(timeline.mWaitedMs.at(cause), 800);
  EXPECT_EQ(timeline.mLostRunMs.at(cause), 500);
  EXPECT_EQ(timeline.mWaitedMs.at(static_cast<std::size_t>(LossCause::Room)),
            100);
  EXPECT_EQ(MainCause(timeline), loss.mCause);
  EXPECT_EQ(ServiceLevelOf(timeline), ServiceLevel::Late);
}

INSTANTIATE_TEST_SUITE_P(
  Causes,
  LogTimelineCauses,
  testing::Values(
    LossCase{ "preempted", "stopped", LossCause::Preempted },
    LossCase{ "stalled", "stopped", LossCause::Stalled },
    LossCase{ "target_leaves", "stopped", LossCause::TargetLeaves },
    LossCase{ "preempted", "target_gone", LossCause::Preempted },
    LossCase{ "", "failed", LossCause::Failed },
    LossCase{ "", "never_ran", LossCause::Failed },
    LossCase{ "", "broken", LossCause::Gang },
    LossCase{ "", "alone", LossCause::Gang },
    LossCase{ "", "target_gone", LossCause::TargetLost },
    LossCase{ "", "lapsed", LossCause::Lease }));

TEST(LogTimeline, RefusalsCountUntilTheAcceptance)
{
  const auto timeline = OnlyTimeline(
    Line(0,
         "call_answered",
         "method=submit workload=w queue=q status=503 reason=not_ready") +
    Accepted(2500) + Started(2500, 1, 0) + Ended(3400, "done", 900) +
    Completed(3500));
  EXPECT_EQ(timeline.mWaitedMs.at(static_cast<std::size_t>(LossCause::Refused)),
            2500);
  EXPECT_EQ(ServiceLevelOf(timeline), ServiceLevel::VeryLate);
  EXPECT_EQ(RenderPath(timeline).find("+0.000 s refused: not_ready\n"), 0U);
}

TEST(LogTimeline, ShuffledLinesGiveTheSameAccount)
{
  std::vector<std::string> parts = {
    Accepted(0),          Started(100, 1, 100),     Ended(600, "failed", 500),
    Started(700, 2, 100), Ended(1200, "done", 500), Completed(1210)
  };
  const auto join = [&parts] {
    std::string text;
    for (const std::string& part : parts) {
      text += part;
    }
    return text;
  };
  const std::string expected = RenderCsv(BuildTimelines(Read(join())));
  std::reverse(parts.begin(), parts.end());
  EXPECT_EQ(RenderCsv(BuildTimelines(Read(join()))), expected);
}

TEST(LogTimeline, UnreadableLinesAreCountedAndNamed)
{
  const std::string whole = Accepted(0);
  const std::vector<std::string> unreadable = {
    "Dec  4 10:00:00 host sshd[1]: accepted\n",
    whole.substr(0, 30) + "\n",
    whole.substr(20),
    whole.substr(0, whole.find("text=") + 8) + "\n",
    whole.substr(0, whole.size() - 1) + " " + Accepted(5),
    "2026-13-99T10:00:00.000Z level=info name=workload_accepted workload=x\n",
    std::string("\0\xff\n", 3),
  };
  std::string text = whole + "\n";
  for (const std::string& line : unreadable) {
    text += line;
  }
  const auto lines = Read(text);
  EXPECT_EQ(lines.mUnreadable, unreadable.size());
  EXPECT_EQ(lines.mFirstUnreadable + "\n", unreadable.front());
  EXPECT_EQ(BuildTimelines(lines).size(), 1U);
}

TEST(LogTimeline, EveryCutOfALineIsHandled)
{
  const std::string text = Accepted(0) + Started(100, 1, 100);
  for (std::size_t size = 0; size < text.size(); ++size) {
    BuildTimelines(Read(text.substr(0, size)));
    BuildTimelines(Read(text.substr(size)));
  }
}

TEST(LogTimeline, SummarySumsByPriority)
{
  const auto lines =
    Read(Accepted(0) + Started(400, 1, 400) + Ended(1900, "done", 1500) +
         Completed(1900) + Accepted(10, "other"));
  const auto summary =
    nlohmann::json::parse(RenderSummary(BuildTimelines(lines), lines));
  EXPECT_EQ(summary["summary"]["workloads"], 2);
  EXPECT_EQ(summary["levels"][0]["late"], 1);
  EXPECT_EQ(summary["levels"][0]["unfinished"], 1);
  EXPECT_EQ(summary["causes"][0]["cause"], "room");
  EXPECT_EQ(summary["causes"][0]["waited_s"], 0.4);
  EXPECT_EQ(summary["causes"][0]["missed"], 1);
}

} // namespace
} // namespace dogwooddrum::cli
