// Guards against logs that do not tell why a control member does not lead, why
// a vote or a join request is refused, and why the membership changes.
#include "dogwooddrum/daemon/ElectionLog.h"
#include "dogwooddrum/daemon/LogLimit.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using namespace coordination::consensus;
using daemon::SeekingView;
using service::FormatLogLine;
using service::LogEvent;

const base::MemberId kSelf(1);
const base::MemberId kPeer(2);

base::Time
At(std::int64_t aMs)
{
  return base::Time(base::Milliseconds(aMs));
}

Member
MakeVoter(std::uint64_t aId)
{
  return { base::MemberId(aId), "10.0.0." + std::to_string(aId) + ":1", true };
}

Membership
MakeThreeVoters()
{
  Membership membership;
  membership.mMembers = { MakeVoter(1), MakeVoter(2), MakeVoter(3) };
  return membership;
}

/** Returns member 1 of three, in term 4, with one entry of term 4. */
Raft
MakeRaft()
{
  RaftOptions options;
  options.mSelf = kSelf;
  RecoveredState recovered;
  recovered.mHardState.mTerm = base::Term(4);
  recovered.mInitialMembership = MakeThreeVoters();
  recovered.mEntries.push_back(
    { base::Term(4), base::LogIndex(1), EntryKind::Noop, "" });
  return Raft(options, recovered, At(0));
}

/** Returns the reasons for which aRaft refuses the request. */
std::vector<VoteRefusalReason>
ReasonsOf(Raft& aRaft,
          std::uint64_t aTerm,
          const VoteRequest& aRequest,
          std::int64_t aMs)
{
  aRaft.Receive({ kPeer, kSelf, base::Term(aTerm), aRequest }, At(aMs));
  std::vector<VoteRefusalReason> reasons;
  for (const VoteRefusal& refusal : aRaft.TakeReady().mVoteRefusals) {
    EXPECT_EQ(refusal.mCandidate, kPeer);
    EXPECT_EQ(refusal.mPreVote, aRequest.mPreVote);
    reasons.push_back(refusal.mReason);
  }
  return reasons;
}

VoteRequest
MakeRequest(bool aPreVote, std::uint64_t aLastIndex, std::uint64_t aLastTerm)
{
  return { aPreVote, false, base::LogIndex(aLastIndex), base::Term(aLastTerm) };
}

std::string
Why(const daemon::JoinView& aView, std::uint64_t aCandidate)
{
  return daemon::WhyNotServed(aView,
                              { base::MemberId(aCandidate), "10.0.0.9:1" });
}

} // namespace

TEST(ElectionLog, RefusedVotesNameTheReason)
{
  using Reasons = std::vector<VoteRefusalReason>;
  Raft raft = MakeRaft();
  const auto current = MakeRequest(true, 1, 4);
  EXPECT_EQ(ReasonsOf(raft, 5, current, 10), Reasons{});
  EXPECT_EQ(ReasonsOf(raft, 4, current, 10),
            Reasons{ VoteRefusalReason::OldTerm });
  EXPECT_EQ(ReasonsOf(raft, 5, MakeRequest(true, 9, 3), 10),
            Reasons{ VoteRefusalReason::OwnLogIsNewer });
  EXPECT_EQ(ReasonsOf(raft, 5, MakeRequest(false, 0, 0), 10),
            Reasons{ VoteRefusalReason::OwnLogIsNewer });
  raft.Receive({ base::MemberId(3), kSelf, base::Term(5), AppendRequest{} },
               At(20));
  EXPECT_EQ(ReasonsOf(raft, 6, current, 30),
            Reasons{ VoteRefusalReason::HearsLeader });
}

TEST(ElectionLog, ASecondCandidateOfATermLearnsOfTheOtherVote)
{
  Raft raft = MakeRaft();
  raft.Receive(
    { base::MemberId(3), kSelf, base::Term(5), MakeRequest(false, 1, 4) },
    At(10));
  raft.TakeReady();
  EXPECT_EQ(ReasonsOf(raft, 5, MakeRequest(false, 1, 4), 20),
            std::vector<VoteRefusalReason>{ VoteRefusalReason::VotedForOther });
}

TEST(ElectionLog, ListOfRefusalsIsBoundedIfItIsNotTaken)
{
  Raft raft = MakeRaft();
  for (int i = 0; i < 1000; ++i) {
    raft.Receive({ kPeer, kSelf, base::Term(4), MakeRequest(true, 1, 4) },
                 At(10));
  }
  EXPECT_EQ(raft.TakeReady().mVoteRefusals.size(), 64U);
}

// Members without a leader logged nothing but their lost links.
TEST(ElectionLog, LeaderlessMemberNamesTheAnswersOfTheOtherVoters)
{
  Raft raft = MakeRaft();
  raft.Tick(At(1500)); // starts a pre-vote
  VoteReply refusal;
  refusal.mPreVote = true;
  raft.Receive({ kPeer, kSelf, base::Term(4), refusal }, At(1600));
  daemon::LeaderlessView view;
  view.mSelf = kSelf;
  view.mNow = At(1720);
  view.mFor = base::Milliseconds(1720);
  view.mStatus = raft.CurrentElectionStatus();
  view.mMembership = raft.CurrentMembership();
  view.mIsLinkOpen = [](base::MemberId aMember) { return aMember == kPeer; };
  EXPECT_EQ(
    FormatLogLine(LogEvent::LeaderUnknown, daemon::DescribeLeaderless(view)),
    "level=warning event=311 name=leader_unknown text=\"member 1 has known no "
    "leader for 1720 ms: pre_candidate of term 4\" member=1 for_ms=1720 "
    "role=pre_candidate term=4 last_index=1 last_term=4 is_voter=yes "
    "members=\"1=10.0.0.1:1 2=10.0.0.2:1 3=10.0.0.3:1\" "
    "other_voters=\"2:link=open,heard_ms=120,vote=refused "
    "3:link=closed,heard_ms=never,vote=none\"");
}

// An answer to an earlier request must not count as one to the newest.
TEST(ElectionLog, AnswersAreForgottenWithTheNextRequest)
{
  Raft raft = MakeRaft();
  raft.Tick(At(1500));
  VoteReply refusal;
  refusal.mPreVote = true;
  raft.Receive({ kPeer, kSelf, base::Term(4), refusal }, At(1600));
  raft.Tick(At(4000));
  const auto status = raft.CurrentElectionStatus();
  ASSERT_EQ(status.mOtherVoters.size(), 2U);
  EXPECT_EQ(status.mOtherVoters[0].mVoteAnswer, VoteAnswer::None);
  EXPECT_EQ(status.mOtherVoters[0].mLastMessageAt, At(1600));
}

TEST(ElectionLog, LeaderNamesWhyItStepsDown)
{
  RaftOptions options;
  options.mSelf = kSelf;
  RecoveredState recovered;
  recovered.mInitialMembership.mMembers = { MakeVoter(1) };
  Raft raft(options, recovered, At(0));
  raft.Tick(At(1500));
  const auto ready = raft.TakeReady();
  ASSERT_TRUE(ready.mPersist);
  raft.OnPersisted(ready.mPersist->mId, At(1510));
  ASSERT_EQ(raft.CurrentRole(), Role::Leader);
  raft.Receive({ kPeer, kSelf, base::Term(7), AppendReply{} }, At(1520));
  EXPECT_EQ(raft.CurrentElectionStatus().mStepDownReason,
            "member 2 has the newer term 7");
}

TEST(ElectionLog, RefusalLineHoldsBothLogs)
{
  VoteRefusal refusal;
  refusal.mCandidate = kPeer;
  refusal.mTerm = base::Term(6);
  refusal.mPreVote = true;
  refusal.mReason = VoteRefusalReason::OwnLogIsNewer;
  refusal.mCandidateLastIndex = base::LogIndex(8);
  refusal.mCandidateLastTerm = base::Term(3);
  ElectionStatus own;
  own.mTerm = base::Term(5);
  own.mLastIndex = base::LogIndex(9);
  own.mLastTerm = base::Term(4);
  EXPECT_EQ(
    FormatLogLine(LogEvent::VoteRefused,
                  daemon::DescribeVoteRefusal(refusal, own, base::MemberId())),
    "level=info event=312 name=vote_refused text=\"pre_vote for member 2 in "
    "term 6 refused: own_log_is_newer\" kind=pre_vote candidate=2 term=6 "
    "reason=own_log_is_newer candidate_last_index=8 candidate_last_term=3 "
    "own_term=5 own_last_index=9 own_last_term=4 leader=0");
}

TEST(ElectionLog, RepairNamesTheChangeAndItsReason)
{
  GroupView view;
  view.mSelf = kSelf;
  view.mMembership = MakeThreeVoters();
  view.mTimeSinceContact[base::MemberId(3)] = base::Milliseconds(2400);
  Membership without = MakeThreeVoters();
  without.mMembers.pop_back();
  EXPECT_EQ(DescribeRepair(view, without),
            "remove member 3: unresponsive for 2400 ms");
  view.mJoinCandidates.push_back({ base::MemberId(9), "10.0.0.3:1" });
  EXPECT_EQ(DescribeRepair(view, without),
            "remove member 3: lost disk at 10.0.0.3:1, now member 9");
  view.mMembership = without;
  Membership next = without;
  next.mMembers.push_back({ base::MemberId(9), "10.0.0.3:1", false });
  EXPECT_EQ(DescribeRepair(view, next),
            "add learner 9: join request from 10.0.0.3:1");
  view.mMembership = next;
  next.mMembers.back().mVoter = true;
  EXPECT_EQ(DescribeRepair(view, next),
            "promote member 9: learner has caught up");
}

TEST(ElectionLog, WaitingJoinRequestNamesTheReason)
{
  daemon::JoinView view;
  EXPECT_EQ(Why(view, 9), "no leader is known");
  view.mLeader = kPeer;
  EXPECT_EQ(Why(view, 9), "") << "the leader serves the request";
  view.mIsLeader = true;
  view.mLeader = kSelf;
  EXPECT_NE(Why(view, 9).find("not committed an entry of its term"),
            std::string::npos);
  view.mIsLeaderReady = true;
  EXPECT_NE(Why(view, 9).find("does not repair"), std::string::npos);
  view.mRepair.emplace();
  view.mGroup.mMembership = MakeThreeVoters();
  EXPECT_EQ(Why(view, 9), "") << "a spare waits in the normal case";
  view.mGroup.mTimeSinceContact[base::MemberId(3)] = base::Milliseconds(2400);
  EXPECT_EQ(Why(view, 9), "a membership change is not committed");
  view.mGroup.mMembership.mMembers.push_back(
    { base::MemberId(8), "10.0.0.8:1", false });
  EXPECT_EQ(Why(view, 9), "member 8 is being added first");
  EXPECT_EQ(Why(view, 8), "the learner has not been promoted");
}

TEST(ElectionLog, SeekingProcessNamesWhomItAsks)
{
  SeekingView view;
  view.mNow = At(1000);
  view.mSelf = base::MemberId(9);
  view.mLeaderless = base::Milliseconds(900);
  view.mAnsweredMembership = MakeThreeVoters();
  view.mLinks.push_back({ "10.0.0.1:1", "settings", true, At(950) });
  view.mLinks.push_back({ "10.0.0.2:1", "members", false, std::nullopt });
  EXPECT_EQ(
    FormatLogLine(LogEvent::SeekingGroup, daemon::DescribeSeeking(view)),
    "level=warning event=315 name=seeking_group text=\"member 9 seeks its "
    "group: 10.0.0.1:1 from settings, link open, answered 50 ms ago; "
    "10.0.0.2:1 from members, link closed, no answer\" member=9 is_voter=no "
    "leaderless_ms=900 members=\"\" answered_members=\"1=10.0.0.1:1 "
    "2=10.0.0.2:1 3=10.0.0.3:1\" links=\"10.0.0.1:1 from settings, link open, "
    "answered 50 ms ago; 10.0.0.2:1 from members, link closed, no answer\"");
}

// A spare asks for as long as it runs and must not fill the log.
TEST(ElectionLog, OnlyASpareOfACompleteGroupIsQuiet)
{
  SeekingView view;
  view.mSelf = base::MemberId(9);
  EXPECT_FALSE(IsSpare(view, "10.0.0.9:1", 3));
  view.mAnsweredMembership = MakeThreeVoters();
  view.mNow = At(2000);
  view.mLinks.push_back({ "10.0.0.1:1", "settings", true, At(1800) });
  EXPECT_TRUE(IsSpare(view, "10.0.0.9:1", 3));
  EXPECT_FALSE(IsSpare(view, "10.0.0.9:1", 5));
  EXPECT_FALSE(IsSpare(view, "10.0.0.3:1", 3)) << "its disk was lost";
  view.mNow = At(2801);
  EXPECT_FALSE(IsSpare(view, "10.0.0.9:1", 3)) << "no answer for a second";
}

TEST(ElectionLog, AStateThatLastsIsLoggedOnceASecond)
{
  daemon::LogLimit limit;
  daemon::LogLimitByKey<int> byKey;
  int lines = 0;
  for (int ms = 1; ms <= 5000; ++ms) {
    lines += limit.Take(At(ms)) ? 1 : 0;
  }
  EXPECT_EQ(lines, 5);
  EXPECT_TRUE(byKey.Take(1, At(1)));
  EXPECT_TRUE(byKey.Take(2, At(2)));
  EXPECT_FALSE(byKey.Take(1, At(1000)));
  EXPECT_TRUE(byKey.Take(1, At(1001)));
}

} // namespace dogwooddrum::tests
