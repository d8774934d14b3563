// Guards against a process that treats an old configuration as current, or
// replaces its configuration by a lower version.
#include "dogwooddrum/coordination/admission/Freshness.h"

#include <gtest/gtest.h>

namespace dogwooddrum::coordination::admission {

namespace {

const base::Time kStart{ base::Milliseconds(1000) };

protocol::FreshnessReply
MakeReply(std::uint64_t aSequence, std::uint64_t aTerm, std::uint64_t aVersion)
{
  protocol::Configuration body;
  body.mVersion = base::ConfigurationVersion(aVersion);
  return { aSequence, base::Term(aTerm), body.mVersion, body };
}

} // namespace

TEST(ConfigurationFreshness, LastsFromTheTimeThePollWasSent)
{
  Freshness freshness({});
  const auto poll = freshness.NextPoll(kStart);
  ASSERT_TRUE(poll);
  EXPECT_FALSE(freshness.IsFresh(kStart));
  EXPECT_TRUE(freshness.OnReply(MakeReply(poll->mSequence, 1, 4)));
  EXPECT_TRUE(freshness.IsFresh(kStart + base::Milliseconds(2999)));
  EXPECT_FALSE(freshness.IsFresh(kStart + base::Milliseconds(3000)));
}

TEST(ConfigurationFreshness, LowerVersionsAndOlderTermsAreIgnored)
{
  Freshness freshness({});
  const auto first = freshness.NextPoll(kStart);
  ASSERT_TRUE(freshness.OnReply(MakeReply(first->mSequence, 3, 7)));
  const auto second = freshness.NextPoll(kStart + base::Milliseconds(1000));
  ASSERT_TRUE(second);
  EXPECT_FALSE(freshness.OnReply(MakeReply(second->mSequence, 3, 6)));
  EXPECT_FALSE(freshness.OnReply(MakeReply(second->mSequence, 2, 8)));
  EXPECT_EQ(freshness.Current().mVersion, base::ConfigurationVersion(7));
  EXPECT_FALSE(freshness.IsFresh(kStart + base::Milliseconds(3000)));
}

TEST(ConfigurationFreshness, DuplicateOrUnknownRepliesDoNotExtendIt)
{
  Freshness freshness({});
  const auto poll = freshness.NextPoll(kStart);
  ASSERT_TRUE(freshness.OnReply(MakeReply(poll->mSequence, 1, 1)));
  const auto until = freshness.FreshUntil();
  freshness.OnReply(MakeReply(poll->mSequence, 1, 1));
  freshness.OnReply(MakeReply(poll->mSequence + 5, 1, 1));
  EXPECT_EQ(freshness.FreshUntil(), until);
}

} // namespace dogwooddrum::coordination::admission
