// Guards against an agent that accepts a start it must refuse, starts an
// attempt twice, or drops a report before control confirms it.
#include "dogwooddrum/coordination/agent/Agent.h"

#include <gtest/gtest.h>

namespace dogwooddrum::coordination::agent {

using base::Milliseconds;
using base::Reason;
using protocol::TaskAction;
using protocol::TaskState;

namespace {

/** An agent with 8 accelerators and 3 slots that has a fresh configuration. */
class AgentFixture : public ::testing::Test
{
protected:
  AgentFixture()
    : mAgent(Options())
  {
    mAgent.OnLinkUp(mNow);
    AnswerHeartbeat(5, 3);
  }

  static AgentOptions Options()
  {
    AgentOptions options;
    options.mIncarnation = base::Incarnation(77);
    options.mWorkerInfo.mWorker = base::WorkerId("w0");
    options.mWorkerInfo.mAccelerators = 8;
    options.mWorkerInfo.mSlots = 3;
    options.mConnections = 2;
    return options;
  }

  /** Answers the newest heartbeat. */
  void AnswerHeartbeat(std::uint64_t aTerm,
                       std::uint64_t aVersion,
                       std::vector<protocol::TaskKey> aRenewed = {},
                       std::vector<protocol::TaskKey> aForget = {})
  {
    for (const auto& message : mAgent.TakeOutput().mMessages) {
      if (const auto* heartbeat =
            std::get_if<protocol::AgentHeartbeat>(&message)) {
        mSequence = heartbeat->mSequence;
      }
    }
    protocol::HeartbeatReply reply;
    reply.mSequence = mSequence;
    reply.mIncarnation = base::Incarnation(77);
    reply.mTerm = base::Term(aTerm);
    reply.mVersion = base::ConfigurationVersion(aVersion);
    reply.mBody.emplace();
    reply.mBody->mVersion = reply.mVersion;
    reply.mRenewedLeases = std::move(aRenewed);
    reply.mAcknowledgedReports = std::move(aForget);
    mAgent.OnHeartbeatReply(reply, mNow);
  }

  static protocol::TaskCommand Command(TaskAction aVerb, std::uint64_t aJob)
  {
    protocol::TaskCommand command;
    command.mTaskAction = aVerb;
    command.mTerm = base::Term(5);
    command.mIncarnation = base::Incarnation(77);
    command.mVersion = base::ConfigurationVersion(3);
    command.mKey.mJob = base::JobId(aJob);
    command.mKey.mAttempt = base::AttemptId(1);
    command.mAccelerators = 1;
    return command;
  }

  /** Sends the command to the agent and returns the last report it causes. */
  protocol::TaskReport SendCommand(const protocol::TaskCommand& aCommand)
  {
    mAgent.TakeOutput();
    mAgent.OnCommand(aCommand, mNow);
    mOut = mAgent.TakeOutput();
    protocol::TaskReport last;
    last.mReason = Reason::Count;
    for (const auto& message : mOut.mMessages) {
      if (const auto* report = std::get_if<protocol::TaskReport>(&message)) {
        last = *report;
      }
    }
    return last;
  }

  void ExpectRefused(const protocol::TaskCommand& aCommand, Reason aReason)
  {
    const auto report = SendCommand(aCommand);
    EXPECT_EQ(report.mState, TaskState::Refused);
    EXPECT_EQ(report.mReason, aReason);
    EXPECT_FALSE(report.mDispatched);
    EXPECT_FALSE(report.mMessage.empty());
    EXPECT_TRUE(mOut.mCalls.empty());
  }

  /** Expects that a refused attempt stays refused once the cause is gone. */
  void ExpectFenced(const protocol::TaskCommand& aCommand)
  {
    AnswerHeartbeat(aCommand.mTerm.Value() + 1, 100);
    auto again = aCommand;
    again.mTerm = base::Term(aCommand.mTerm.Value() + 1);
    EXPECT_EQ(SendCommand(again).mState, TaskState::Refused);
    EXPECT_TRUE(mOut.mCalls.empty());
  }

  void Advance(std::int64_t aMs)
  {
    mNow += Milliseconds(aMs);
    mAgent.Tick(mNow);
  }

  base::Time mNow{ Milliseconds(1000) };
  Agent mAgent;
  Output mOut;
  std::uint64_t mSequence = 0;
};

using AgentRefusals = AgentFixture;

} // namespace

TEST_F(AgentRefusals, WrongIncarnation)
{
  auto command = Command(TaskAction::Run, 1);
  command.mIncarnation = base::Incarnation(78);
  ExpectRefused(command, Reason::WrongIncarnation);
}

TEST_F(AgentRefusals, OldTerm)
{
  auto command = Command(TaskAction::Run, 1);
  command.mTerm = base::Term(4);
  ExpectRefused(command, Reason::OldTerm);
  ExpectFenced(Command(TaskAction::Run, 1));
}

TEST_F(AgentRefusals, StaleConfiguration)
{
  Advance(3000);
  ExpectRefused(Command(TaskAction::Run, 1), Reason::ConfigurationStale);
  ExpectFenced(Command(TaskAction::Run, 1));
}

TEST_F(AgentRefusals, ConfigurationOlderThanTheCommands)
{
  auto command = Command(TaskAction::Run, 1);
  command.mVersion = base::ConfigurationVersion(4);
  ExpectRefused(command, Reason::ConfigurationStale);
  ExpectFenced(Command(TaskAction::Run, 1));
}

TEST_F(AgentRefusals, Leaving)
{
  mAgent.BeginDrain(mNow);
  ExpectRefused(Command(TaskAction::Run, 1), Reason::Draining);
}

TEST_F(AgentRefusals, ConnectionsFull)
{
  SendCommand(Command(TaskAction::Run, 1));
  SendCommand(Command(TaskAction::Run, 2));
  ExpectRefused(Command(TaskAction::Run, 3), Reason::ConnectionsFull);
}

TEST_F(AgentRefusals, AcceleratorsInUse)
{
  auto command = Command(TaskAction::Prepare, 1);
  command.mAccelerators = 6;
  EXPECT_EQ(SendCommand(command).mState, TaskState::Prepared);
  command = Command(TaskAction::Run, 2);
  command.mAccelerators = 3;
  ExpectRefused(command, Reason::SlotsFull);
  command = Command(TaskAction::Run, 3);
  command.mAccelerators = 2;
  EXPECT_EQ(SendCommand(command).mState, TaskState::Running);
}

TEST_F(AgentRefusals, ReplyOfAnotherIncarnationDoesNotRefresh)
{
  Advance(2900);
  protocol::HeartbeatReply reply;
  reply.mSequence = mSequence + 1;
  reply.mIncarnation = base::Incarnation(76);
  reply.mTerm = base::Term(9);
  mAgent.OnHeartbeatReply(reply, mNow);
  Advance(100);
  EXPECT_FALSE(mAgent.HasFreshConfiguration(mNow));
  EXPECT_EQ(mAgent.HighestTerm(), base::Term(5));
}

TEST_F(AgentRefusals, RepeatedRunIsAnsweredWithTheStateAndNotStarted)
{
  EXPECT_EQ(SendCommand(Command(TaskAction::Run, 1)).mState,
            TaskState::Running);
  EXPECT_EQ(mOut.mCalls.size(), 1U);
  EXPECT_EQ(SendCommand(Command(TaskAction::Run, 1)).mState,
            TaskState::Running);
  EXPECT_TRUE(mOut.mCalls.empty());
  const auto key = Command(TaskAction::Run, 1).mKey;
  mAgent.OnTaskFailed(key, Reason::TargetFailed, true, "boom", mNow);
  EXPECT_EQ(SendCommand(Command(TaskAction::Run, 1)).mState, TaskState::Failed);
  AnswerHeartbeat(5, 3, {}, { key }); // Removed, but still fenced.
  EXPECT_EQ(SendCommand(Command(TaskAction::Run, 1)).mState, TaskState::Failed);
  EXPECT_TRUE(mOut.mCalls.empty());
}

TEST_F(AgentRefusals, ReportsRepeatUntilForgotten)
{
  SendCommand(Command(TaskAction::Release, 1));
  const auto key = Command(TaskAction::Run, 1).mKey;
  for (const bool forgotten : { false, true }) {
    Advance(1000);
    std::size_t reports = 0;
    for (const auto& message : mAgent.TakeOutput().mMessages) {
      if (const auto* heartbeat =
            std::get_if<protocol::AgentHeartbeat>(&message)) {
        reports += heartbeat->mTasks.size();
      }
    }
    EXPECT_EQ(reports, forgotten ? 0U : 1U);
    AnswerHeartbeat(5, 3, {}, { key });
  }
}

TEST_F(AgentRefusals, PreparedGangMemberRunsThoughTheAgentIsLeaving)
{
  EXPECT_EQ(SendCommand(Command(TaskAction::Prepare, 1)).mState,
            TaskState::Prepared);
  EXPECT_TRUE(mOut.mCalls.empty());
  mAgent.BeginDrain(mNow);
  EXPECT_EQ(SendCommand(Command(TaskAction::Run, 1)).mState,
            TaskState::Running);
}

TEST_F(AgentRefusals, LeaseCountsFromTheSendTimeOfTheRenewingHeartbeat)
{
  const auto key = Command(TaskAction::Run, 1).mKey;
  SendCommand(Command(TaskAction::Run, 1));
  Advance(1000); // Sends a heartbeat.
  mNow += Milliseconds(8000);
  AnswerHeartbeat(5, 3, { key }); // Answered late.
  Advance(1990);
  EXPECT_TRUE(mAgent.TakeOutput().mCalls.empty());
  Advance(20);
  const auto calls = mAgent.TakeOutput().mCalls;
  ASSERT_EQ(calls.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<StopTask>(calls[0]));
}

TEST_F(AgentRefusals, DrainWaitsForTasksAndAnswers)
{
  const auto key = Command(TaskAction::Run, 1).mKey;
  SendCommand(Command(TaskAction::Run, 1));
  mAgent.BeginDrain(mNow);
  EXPECT_FALSE(mAgent.IsDrained());
  mAgent.OnTaskFinished(key, "done", mNow);
  EXPECT_FALSE(mAgent.IsDrained()) << "the answer is not durable";
  protocol::AnswerAck ack;
  ack.mTerm = base::Term(5);
  ack.mKey = key;
  mAgent.OnAnswerAck(ack, mNow);
  EXPECT_TRUE(mAgent.IsDrained());
}

TEST_F(AgentRefusals, FenceOutlivesEveryMessageAndIsDroppedThen)
{
  const auto key = Command(TaskAction::Run, 1).mKey;
  SendCommand(Command(TaskAction::Release, 1));
  AnswerHeartbeat(5, 3, {}, { key });
  Advance(599000);
  AnswerHeartbeat(5, 3);
  EXPECT_EQ(SendCommand(Command(TaskAction::Run, 1)).mState,
            TaskState::Released);
  Advance(2000);
  AnswerHeartbeat(5, 3);
  EXPECT_EQ(SendCommand(Command(TaskAction::Run, 1)).mState,
            TaskState::Running);
}

} // namespace dogwooddrum::coordination::agent
