/** \file
 * Defines LogLimit, which bounds the log lines about a state that lasts.
 */
#pragma once

#include "dogwooddrum/base/Time.h"

#include <map>

namespace dogwooddrum::daemon {

constexpr base::Duration kLogInterval = base::Milliseconds(1000);

/** Allows one line each kLogInterval. Thread safety: none. */
class LogLimit
{
public:
  /** Returns whether a line may be logged now, and counts it as logged. */
  bool Take(base::Time aNow)
  {
    if (aNow < mNext) {
      return false;
    }
    mNext = aNow + kLogInterval;
    return true;
  }

private:
  base::Time mNext{};
};

/** Allows one line for each key each kLogInterval. Thread safety: none. */
template<typename Key>
class LogLimitByKey
{
public:
  bool Take(const Key& aKey, base::Time aNow)
  {
    constexpr std::size_t kMaxKeys = 64;
    if (mLimits.size() >= kMaxKeys && mLimits.count(aKey) == 0) {
      mLimits.clear();
    }
    return mLimits[aKey].Take(aNow);
  }

private:
  std::map<Key, LogLimit> mLimits;
};

} // namespace dogwooddrum::daemon
