#include "dogwooddrum/coordination/admission/Freshness.h"

#include <algorithm>

namespace dogwooddrum::coordination::admission {

Freshness::Freshness(const FreshnessOptions& aOptions)
  : mOptions(aOptions)
{
}

std::optional<protocol::FreshnessPoll>
Freshness::NextPoll(base::Time aNow)
{
  if (aNow < mNextPoll) {
    return std::nullopt;
  }
  mNextPoll = aNow + mOptions.mPollInterval;
  // A reply that arrives after mFreshFor proves nothing; drop its poll.
  while (!mSentPolls.empty() &&
         mSentPolls.begin()->second + mOptions.mFreshFor <= aNow) {
    mSentPolls.erase(mSentPolls.begin());
  }
  mSentPolls.emplace(++mSequence, aNow);
  return protocol::FreshnessPoll{ mSequence, mCurrent.mVersion };
}

void
Freshness::PollNow()
{
  mNextPoll = base::Time::min();
}

bool
Freshness::OnReply(const protocol::FreshnessReply& aReply)
{
  const auto it = mSentPolls.find(aReply.mSequence);
  if (it == mSentPolls.end() || aReply.mTerm < mTerm) {
    return false;
  }
  bool replaced = false;
  if (aReply.mBody && aReply.mBody->mVersion > mCurrent.mVersion) {
    mCurrent = *aReply.mBody;
    replaced = true;
  }
  if (aReply.mVersion != mCurrent.mVersion) {
    return replaced;
  }
  mTerm = aReply.mTerm;
  mFreshUntil = std::max(mFreshUntil, it->second + mOptions.mFreshFor);
  ErasePollsUpTo(aReply.mSequence);
  return replaced;
}

void
Freshness::ErasePollsUpTo(std::uint64_t aSequence)
{
  mSentPolls.erase(mSentPolls.begin(), mSentPolls.upper_bound(aSequence));
}

} // namespace dogwooddrum::coordination::admission
