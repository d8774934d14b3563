/** \file
 * Defines Freshness, which tracks whether a process's configuration is
 * confirmed as current. A process that cannot confirm it stops admitting work.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/protocol/Messages.h"

#include <cstdint>
#include <map>
#include <optional>

namespace dogwooddrum::coordination::admission {

struct FreshnessOptions
{
  base::Duration mPollInterval = base::Milliseconds(1000);
  /** Time from the sending of a poll during which its reply proves the
   * configuration current. Below the 4 s within which a change must take
   * effect on all processes. */
  base::Duration mFreshFor = base::Milliseconds(3000);
};

/**
 * Polls the leader and stores the newest configuration.
 *
 * The reply to a poll proves that the leader's version was current at some
 * time after the poll was sent, so freshness counts from the send time on the
 * local clock and needs no synchronised clocks. Thread safety: none.
 */
class Freshness
{
public:
  explicit Freshness(const FreshnessOptions& aOptions);

  /** Returns the poll to send now, if one is due. */
  std::optional<protocol::FreshnessPoll> NextPoll(base::Time aNow);
  /** Makes the next poll due at once, for example on a new link. */
  void PollNow();

  /**
   * Handles a reply. Returns true if the configuration was replaced by a
   * newer one. Replies to unknown polls, of older terms or with a lower
   * version are ignored.
   */
  bool OnReply(const protocol::FreshnessReply& aReply);

  /** Returns the time until which work may be admitted; Time::min() if the
   * configuration was never confirmed. */
  base::Time FreshUntil() const { return mFreshUntil; }
  /** Returns whether work may be admitted. */
  bool IsFresh(base::Time aNow) const { return aNow < mFreshUntil; }
  /** Returns the newest configuration; version 0 if none has arrived. */
  const protocol::Configuration& Current() const { return mCurrent; }

private:
  void ErasePollsUpTo(std::uint64_t aSequence);

  const FreshnessOptions mOptions;
  std::uint64_t mSequence = 0;
  std::map<std::uint64_t, base::Time> mSentPolls;
  base::Time mNextPoll{ base::Time::min() };
  base::Time mFreshUntil{ base::Time::min() };
  base::Term mTerm;
  protocol::Configuration mCurrent;
};

} // namespace dogwooddrum::coordination::admission
