// Guards against a repeated, late or conflicting command that changes the
// replicated state. They arise because a new leader cannot know which commands
// the old one proposed.
#include "dogwooddrum/base/Checksum.h"
#include "dogwooddrum/coordination/jobs/JobState.h"

#include <gtest/gtest.h>

namespace dogwooddrum::coordination::jobs {

namespace {

SubmitJob
MakeSubmission(std::uint64_t aJob, const std::string& aKey)
{
  SubmitJob submit;
  submit.mJob = base::JobId(aJob);
  submit.mSpec.mAccount = base::AccountId("yard");
  submit.mSpec.mKey = base::IdempotencyKey(aKey);
  return submit;
}

AttemptStart
MakeStart(std::uint32_t aAttempt, std::size_t aTasks)
{
  AttemptStart start;
  start.mAttempt = base::AttemptId(aAttempt);
  start.mTasks.resize(aTasks);
  return start;
}

StoreAnswerPart
MakeAnswerPart(const std::string& aAnswer,
               std::size_t aOffset,
               std::size_t aBytes)
{
  StoreAnswerPart part;
  part.mKey = { base::JobId(1), base::AttemptId(1), base::TaskIndex(0) };
  part.mOffset = aOffset;
  part.mTotalBytes = aAnswer.size();
  part.mChecksum = base::Checksum(aAnswer);
  part.mBytes = aAnswer.substr(aOffset, aBytes);
  return part;
}

class JobStateCommands : public ::testing::Test
{
protected:
  std::vector<Effect> Apply(Command aCommand)
  {
    Batch batch;
    batch.mCommands.push_back(std::move(aCommand));
    return mState.Apply(batch);
  }

  /** Applies the command and expects that nothing changes. */
  void ExpectIgnored(Command aCommand)
  {
    const std::string before = mState.Save();
    Apply(std::move(aCommand));
    EXPECT_EQ(mState.Save(), before);
  }

  const JobRecord& Job() { return *mState.Find(base::JobId(1)); }

  JobState mState;
};

} // namespace

TEST_F(JobStateCommands, SecondSubmissionOfAKeyJoins)
{
  Apply(MakeSubmission(1, "k"));
  const auto effects = Apply(MakeSubmission(2, "k"));
  ASSERT_EQ(effects.size(), 1U);
  EXPECT_EQ(effects[0].mKind, Effect::Kind::Joined);
  EXPECT_EQ(effects[0].mExistingJob, base::JobId(1));
  EXPECT_EQ(mState.Jobs().size(), 1U);
}

TEST_F(JobStateCommands, KeyWithAnotherRequestIsRefused)
{
  Apply(MakeSubmission(1, "k"));
  auto other = MakeSubmission(2, "k");
  other.mSpec.mPayload = "other";
  const auto effects = Apply(other);
  ASSERT_EQ(effects.size(), 1U);
  EXPECT_EQ(effects[0].mKind, Effect::Kind::KeyReused);
  EXPECT_EQ(mState.Jobs().size(), 1U);
}

TEST_F(JobStateCommands, AttemptsStartOnceAndInOrder)
{
  Apply(MakeSubmission(1, "k"));
  ExpectIgnored(StartAttempt{ base::JobId(1), MakeStart(2, 1) });
  Apply(StartAttempt{ base::JobId(1), MakeStart(1, 1) });
  ExpectIgnored(StartAttempt{ base::JobId(1), MakeStart(1, 1) });
  ExpectIgnored(StartAttempt{ base::JobId(1), MakeStart(2, 1) });
  EXPECT_EQ(Job().mPhase, JobPhase::Active);
}

TEST_F(JobStateCommands, AbortedGangIsNeverCommitted)
{
  Apply(MakeSubmission(1, "k"));
  Apply(StartAttempt{ base::JobId(1), MakeStart(1, 2) });
  Apply(AbortAttempt{ base::JobId(1), base::AttemptId(1), {} });
  ExpectIgnored(CommitGang{ base::JobId(1), base::AttemptId(1) });
  EXPECT_FALSE(Job().mAttempt->mMayRun);
}

TEST_F(JobStateCommands, CommandsForAnEarlierAttemptAreIgnored)
{
  Apply(MakeSubmission(1, "k"));
  Apply(StartAttempt{ base::JobId(1), MakeStart(1, 1) });
  EndAttempt end;
  end.mJob = base::JobId(1);
  end.mAttempt = base::AttemptId(1);
  end.mRequeue = true;
  Apply(end);
  Apply(StartAttempt{ base::JobId(1), MakeStart(2, 1) });
  ExpectIgnored(end);
  ExpectIgnored(MakeAnswerPart("answer", 0, 6));
  ExpectIgnored(AbortAttempt{ base::JobId(1), base::AttemptId(1), {} });
}

TEST_F(JobStateCommands, AnswerPartsCountOnceAndInOrder)
{
  const std::string answer = "0123456789";
  Apply(MakeSubmission(1, "k"));
  Apply(StartAttempt{ base::JobId(1), MakeStart(1, 1) });
  ExpectIgnored(MakeAnswerPart(answer, 4, 6));
  Apply(MakeAnswerPart(answer, 0, 4));
  ExpectIgnored(MakeAnswerPart(answer, 0, 4));
  EXPECT_EQ(mState.AnswerBytes(), 4U);
  Apply(MakeAnswerPart(answer, 4, 6));
  EXPECT_EQ(Job().mPhase, JobPhase::Finished);
  EXPECT_EQ(Job().mAnswer, answer);
  ExpectIgnored(CancelJob{ base::JobId(1) });
}

TEST_F(JobStateCommands, AnswerThatDoesNotMatchItsChecksumIsNotStored)
{
  Apply(MakeSubmission(1, "k"));
  Apply(StartAttempt{ base::JobId(1), MakeStart(1, 1) });
  auto part = MakeAnswerPart("answer", 0, 6);
  part.mBytes[0] ^= 1;
  Apply(part);
  EXPECT_EQ(Job().mPhase, JobPhase::Active);
  EXPECT_EQ(mState.AnswerBytes(), 0U);
}

TEST_F(JobStateCommands, ChangeOutcomesAreRememberedUpToTheStatedBound)
{
  ChangeConfiguration change;
  change.mRequest.mEdit = protocol::DrainWorker{ base::WorkerId("w"), true };
  for (std::size_t i = 0; i <= kMaxChangeOutcomes; ++i) {
    change.mRequest.mChangeId = base::ChangeId(std::to_string(i));
    change.mRequest.mBaseVersion = mState.Configuration().mVersion;
    Apply(change);
  }
  EXPECT_EQ(mState.FindOutcome(base::ChangeId("0")), nullptr);
  EXPECT_NE(mState.FindOutcome(base::ChangeId("1")), nullptr);
  EXPECT_EQ(mState.Configuration().mVersion.Value(), kMaxChangeOutcomes + 1);
}

} // namespace dogwooddrum::coordination::jobs
