// Guards against ends of runs whose log line does not tell on what proof the
// leader recorded them, and against agents that end an incarnation or drop a
// message without a trace.
#include "dogwooddrum/cli/Timeline.h"
#include "dogwooddrum/coordination/workloads/WorkerAgent.h"
#include "dogwooddrum/coordination/workloads/WorkloadScheduler.h"
#include "dogwooddrum/service/LogEvents.h"
#include "tests/support/TargetMessages.h"

#include <gtest/gtest.h>

#include <sstream>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::workloads;

const TargetIncarnation kFirst{ "i-1", 1000 };
const TargetIncarnation kSecond{ "i-2", 2000 };
const protocol::RunId kRun = FirstRunOfA();

using Fields = std::map<std::string, std::string>;

/** A leader of term 3 whose state holds one run on kFirst. */
class Leader
{
public:
  Leader()
    : mScheduler({}, mState)
  {
    mState.Apply(Change{ AdoptCatalog{ CatalogWithOneQueue() } });
    Accept accept;
    accept.mRequest.mId = WorkloadId("a");
    accept.mRequest.mSpec.mSteps.resize(1);
    mState.Apply(Change{ accept });
    mState.Apply(Change{ StartRuns{ { { kRun, kFirst } } } });
    mScheduler.BecomeLeader(base::Term(3), At(0));
  }

  void Report(const protocol::WorkerReport& aReport, std::int64_t aMs)
  {
    mScheduler.OnReport(Session(1), aReport, At(aMs));
  }
  void Tick(std::int64_t aMs) { mScheduler.Tick(At(aMs)); }

  /** Returns the fields of the first run_ended event; empty if there is none.
   */
  Fields TakeEnd(std::int64_t aMs)
  {
    Fields fields;
    for (const auto& event : mScheduler.TakeOutput(At(aMs)).mWorkloadEvents) {
      if (event.mKind == WorkloadEvent::Kind::RunEnded && fields.empty()) {
        for (const auto& [name, value] : event.mFields) {
          fields[std::string(name)] = value;
        }
      }
    }
    return fields;
  }

private:
  State mState;
  WorkloadScheduler mScheduler;
};

protocol::WorkerReport
ReportOf(const TargetIncarnation& aTarget)
{
  protocol::WorkerReport report;
  report.mAgent = base::Incarnation(7);
  report.mAgentName = "agent-1";
  report.mSequence = 12;
  report.mTarget = protocol::TargetInfo();
  report.mTarget->mTargetIncarnation = aTarget;
  report.mHasRunLists = true;
  return report;
}

protocol::WorkerReport
ReportOfEnd(RunEnd aEnd, std::uint64_t aNumber)
{
  auto report = ReportOf(kFirst);
  protocol::EndedTask ended;
  ended.mRun = kRun;
  ended.mEnd = aEnd;
  ended.mNumber = aNumber;
  ended.mMessage = "the target is leaving";
  report.mEnded.push_back(ended);
  return report;
}

} // namespace

TEST(RunEndProof, ListedEndNamesTheReport)
{
  Leader leader;
  leader.Report(ReportOfEnd(RunEnd::Done, 4), 100);
  auto fields = leader.TakeEnd(100);
  EXPECT_EQ(fields["proof"], "listed by the target, number 4");
  EXPECT_EQ(fields["agent"], "agent-1");
  EXPECT_EQ(fields["agent_incarnation"], "7");
  EXPECT_EQ(fields["report_sequence"], "12");
  EXPECT_EQ(fields["term"], "3");
  EXPECT_EQ(fields["target_start_ms"], "1000");
}

TEST(RunEndProof, RunThatNeverRanNamesTheAgentsReason)
{
  Leader leader;
  leader.Report(ReportOfEnd(RunEnd::NeverRan, 0), 100);
  EXPECT_EQ(leader.TakeEnd(100)["proof"], "never ran: the target is leaving");
}

TEST(RunEndProof, ReplacedTargetNamesItsSuccessor)
{
  Leader leader;
  leader.Report(ReportOf(kFirst), 100);
  auto next = ReportOf(kSecond);
  next.mSequence = 13;
  leader.Report(next, 200);
  auto fields = leader.TakeEnd(200);
  EXPECT_EQ(fields["proof"], "target gone: replaced by i-2/2000");
  EXPECT_EQ(fields["report_sequence"], "13");
}

TEST(RunEndProof, TargetThatLeftIsNamed)
{
  Leader leader;
  auto report = ReportOf(kFirst);
  report.mTarget.reset();
  report.mEndedIncarnations.push_back({ kFirst, {}, {} });
  leader.Report(report, 100);
  EXPECT_EQ(leader.TakeEnd(100)["proof"], "target gone: left");
}

TEST(RunEndProof, ExpiredLeaseNamesItsLastGrant)
{
  Leader leader;
  leader.Report(ReportOf(kFirst), 100);
  leader.Tick(20100);
  auto fields = leader.TakeEnd(20100);
  EXPECT_EQ(fields["proof"], "lease expired: last granted 20000 ms ago");
  EXPECT_EQ(fields["agent"], "agent-1");
  EXPECT_EQ(fields["report_sequence"], "12");
}

TEST(RunEndProof, UnknownTargetNamesTheElection)
{
  Leader leader;
  leader.Tick(20000);
  auto fields = leader.TakeEnd(20000);
  EXPECT_EQ(fields["proof"],
            "lease expired: none granted since the election 20000 ms ago");
  EXPECT_EQ(fields["agent"], "");
}

// The timeline reads the end of a run from this line.
TEST(RunEndProof, TimelineReadsTheLine)
{
  Leader leader;
  leader.Report(ReportOfEnd(RunEnd::Failed, 4), 100);
  const auto ended = leader.TakeEnd(100);
  std::vector<service::LogField> fields;
  for (const auto& [name, value] : ended) {
    fields.emplace_back(name, value);
  }
  std::istringstream input(
    "2026-12-04T10:00:00.000Z " +
    service::FormatLogLine(service::LogEvent::RunEnded, fields) + "\n");
  cli::LogLines lines;
  cli::ReadLogLines(input, lines);
  EXPECT_EQ(lines.mUnreadable, 0U);
  const auto timelines = cli::BuildTimelines(lines);
  ASSERT_EQ(timelines.size(), 1U);
  ASSERT_EQ(timelines[0].mPath.size(), 1U);
  EXPECT_EQ(timelines[0].mPath[0].mWhat, "a.0.0.0 ended: failed");
}

TEST(RunEndProof, AgentNamesWhyItDropsAMessage)
{
  WorkerAgent agent({});
  protocol::TargetInfo info;
  info.mTargetIncarnation = kFirst;
  EXPECT_STREQ(agent.WhyDropsLeaveMessage("i-1"), "no target is present");
  EXPECT_EQ(agent.WhyDrops(info, 5), nullptr);
  EXPECT_TRUE(agent.OnAnnounced(info, 5, At(0)));
  EXPECT_STREQ(agent.WhyDrops(info, 5), "a newer message has arrived");
  EXPECT_EQ(agent.WhyDrops(info, 6), nullptr);
  EXPECT_STREQ(agent.WhyDropsLeaveMessage("i-2"),
               "another instance is present");
  EXPECT_EQ(agent.WhyDropsLeaveMessage("i-1"), nullptr);
  auto next = info;
  next.mTargetIncarnation = kSecond;
  EXPECT_FALSE(agent.OnAnnounced(next, 1, At(1)));
  EXPECT_EQ(agent.WhyDrops(info, 6), nullptr) << "i-2 has not answered";
  ASSERT_TRUE(agent.NextProbe(At(2)));
  EXPECT_TRUE(agent.OnProbed(kSecond, true, At(3)));
  EXPECT_STREQ(agent.WhyDrops(info, 6), "this incarnation has ended");
}

} // namespace dogwooddrum::tests
