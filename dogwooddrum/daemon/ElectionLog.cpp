#include "dogwooddrum/daemon/ElectionLog.h"

#include "dogwooddrum/daemon/LogLimit.h"

#include <algorithm>

namespace dogwooddrum::daemon {

namespace {

using namespace coordination::consensus;

const char*
ToString(Role aRole)
{
  switch (aRole) {
    case Role::Follower:
      return "follower";
    case Role::PreCandidate:
      return "pre_candidate";
    case Role::Candidate:
      return "candidate";
    case Role::Leader:
      break;
  }
  return "leader";
}

const char*
ToString(VoteAnswer aAnswer)
{
  switch (aAnswer) {
    case VoteAnswer::Granted:
      return "granted";
    case VoteAnswer::Refused:
      return "refused";
    case VoteAnswer::None:
      break;
  }
  return "none";
}

std::string
FormatPeer(const PeerStatus& aPeer, const LeaderlessView& aView)
{
  std::string text = std::to_string(aPeer.mId.Value()) + ":link=";
  text += aView.mIsLinkOpen(aPeer.mId) ? "open" : "closed";
  text += ",heard_ms=";
  text +=
    aPeer.mLastMessageAt
      ? std::to_string(base::ToMilliseconds(aView.mNow - *aPeer.mLastMessageAt))
      : "never";
  return text + ",vote=" + ToString(aPeer.mVoteAnswer);
}

const char*
RoleSuffix(const Member& aMember)
{
  if (!aMember.mVoter) {
    return "(learner)";
  }
  switch (aMember.mSwap) {
    case SwapRole::Entering:
      return "(entering)";
    case SwapRole::Leaving:
      return "(leaving)";
    case SwapRole::None:
      break;
  }
  return "";
}

} // namespace

std::string
FormatMembership(const Membership& aMembership)
{
  std::string text;
  for (const auto& member : aMembership.mMembers) {
    text += (text.empty() ? "" : " ") + std::to_string(member.mId.Value()) +
            RoleSuffix(member) + "=" + member.mAddress;
  }
  return text;
}

LogFields
DescribeLeaderless(const LeaderlessView& aView)
{
  const ElectionStatus& status = aView.mStatus;
  std::string voters;
  for (const PeerStatus& peer : status.mOtherVoters) {
    voters += (voters.empty() ? "" : " ") + FormatPeer(peer, aView);
  }
  return { { "member", aView.mSelf.Value() },
           { "for_ms", base::ToMilliseconds(aView.mFor) },
           { "role", ToString(status.mRole) },
           { "term", status.mTerm.Value() },
           { "last_index", status.mLastIndex.Value() },
           { "last_term", status.mLastTerm.Value() },
           { "is_voter", status.mIsVoter ? "yes" : "no" },
           { "members", FormatMembership(aView.mMembership) },
           { "other_voters", voters } };
}

const char*
ToString(VoteRefusalReason aReason)
{
  switch (aReason) {
    case VoteRefusalReason::HearsLeader:
      return "hears_leader";
    case VoteRefusalReason::OldTerm:
      return "old_term";
    case VoteRefusalReason::OwnLogIsNewer:
      return "own_log_is_newer";
    case VoteRefusalReason::VotedForOther:
      return "voted_for_other";
    case VoteRefusalReason::KnowsLeader:
      break;
  }
  return "knows_leader";
}

LogFields
DescribeVoteRefusal(const VoteRefusal& aRefusal,
                    const ElectionStatus& aOwn,
                    base::MemberId aLeader)
{
  return { { "kind", aRefusal.mPreVote ? "pre_vote" : "vote" },
           { "candidate", aRefusal.mCandidate.Value() },
           { "term", aRefusal.mTerm.Value() },
           { "reason", ToString(aRefusal.mReason) },
           { "candidate_last_index", aRefusal.mCandidateLastIndex.Value() },
           { "candidate_last_term", aRefusal.mCandidateLastTerm.Value() },
           { "own_term", aOwn.mTerm.Value() },
           { "own_last_index", aOwn.mLastIndex.Value() },
           { "own_last_term", aOwn.mLastTerm.Value() },
           { "leader", aLeader.Value() } };
}

std::string
WhyNotServed(const JoinView& aView, const JoinCandidate& aCandidate)
{
  if (!aView.mIsLeader) {
    return aView.mLeader == base::MemberId() ? "no leader is known" : "";
  }
  if (!aView.mIsLeaderReady) {
    return "the leader has not committed an entry of its term, or transfers "
           "leadership";
  }
  if (!aView.mRepair) {
    return "the leader has no seeds and does not repair its group";
  }
  std::size_t voters = 0;
  const Member* otherLearner = nullptr;
  bool isLearner = false;
  bool isUnresponsive = false;
  for (const Member& member : aView.mGroup.mMembership.mMembers) {
    if (member.mId == aCandidate.mId && member.mVoter) {
      return "";
    }
    isLearner = isLearner || member.mId == aCandidate.mId;
    voters += member.mVoter ? 1 : 0;
    otherLearner = member.mVoter ? otherLearner : &member;
    const auto it = aView.mGroup.mTimeSinceContact.find(member.mId);
    isUnresponsive =
      isUnresponsive ||
      (member.mVoter && it != aView.mGroup.mTimeSinceContact.end() &&
       it->second >= aView.mRepair->mReplaceAfter);
  }
  if (voters >= aView.mRepair->mIntendedVoters && !isUnresponsive) {
    return ""; // a spare, kept up to date or not
  }
  if (isLearner) {
    return "the learner has not been promoted";
  }
  if (otherLearner != nullptr) {
    return "member " + std::to_string(otherLearner->mId.Value()) +
           " is being added first";
  }
  return "a membership change is not committed";
}

LogFields
DescribeSeeking(const SeekingView& aView)
{
  std::string links;
  for (const auto& link : aView.mLinks) {
    links += (links.empty() ? "" : "; ") + link.mAddress + " from " +
             link.mSource +
             (link.mIsOpen ? ", link open, " : ", link closed, ") +
             (link.mAnsweredAt ? "answered " +
                                   std::to_string(base::ToMilliseconds(
                                     aView.mNow - *link.mAnsweredAt)) +
                                   " ms ago"
                               : std::string("no answer"));
  }
  return { { "member", aView.mSelf.Value() },
           { "is_voter", aView.mIsVoter ? "yes" : "no" },
           { "leaderless_ms", base::ToMilliseconds(aView.mLeaderless) },
           { "members", FormatMembership(aView.mMembership) },
           { "answered_members", FormatMembership(aView.mAnsweredMembership) },
           { "links", links.empty() ? "no address known" : links } };
}

std::string
FormatSeekingState(const SeekingView& aView)
{
  std::string state = (aView.mIsVoter ? "voter " : "") +
                      FormatMembership(aView.mMembership) + ";" +
                      FormatMembership(aView.mAnsweredMembership);
  for (const auto& link : aView.mLinks) {
    state += ";" + link.mAddress + (link.mIsOpen ? " open" : "") +
             (link.mAnsweredAt ? " answered" : "");
  }
  return state;
}

bool
IsSpare(const SeekingView& aView,
        const std::string& aSelfAddress,
        std::size_t aIntendedVoters)
{
  std::size_t voters = 0;
  for (const Member& member : aView.mAnsweredMembership.mMembers) {
    if (member.mId == aView.mSelf ? member.mVoter
                                  : member.mAddress == aSelfAddress) {
      return false;
    }
    voters += member.mVoter ? 1 : 0;
  }
  const bool hasAnswered = std::any_of(
    aView.mLinks.begin(), aView.mLinks.end(), [&](const auto& aLink) {
      return aLink.mAnsweredAt &&
             aView.mNow - *aLink.mAnsweredAt <= kLogInterval;
    });
  return hasAnswered && !aView.mIsVoter && voters >= aIntendedVoters;
}

} // namespace dogwooddrum::daemon
