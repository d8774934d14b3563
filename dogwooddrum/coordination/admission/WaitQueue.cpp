#include "dogwooddrum/coordination/admission/WaitQueue.h"

#include <algorithm>
#include <iterator>

namespace dogwooddrum::coordination::admission {

WaitQueue::WaitQueue(std::size_t aLimit)
  : mLimit(aLimit)
{
}

std::optional<ShedRequest>
WaitQueue::Push(const WaitingRequest& aRequest)
{
  if (!aRequest.mMayWait) {
    return ShedRequest{ aRequest.mRequest, base::Reason::LoadShed };
  }
  std::optional<ShedRequest> shed;
  if (mSize >= mLimit) {
    const auto lowest = mLevels.begin();
    if (lowest == mLevels.end() || lowest->first >= aRequest.mPriority) {
      return ShedRequest{ aRequest.mRequest, base::Reason::QueueFull };
    }
    // Shed the newest of the lowest priority; it has waited least.
    shed =
      ShedRequest{ lowest->second.back().mRequest, base::Reason::LoadShed };
    lowest->second.pop_back();
    --mSize;
    DropEmptyLevel(lowest->first);
  }
  mLevels[aRequest.mPriority].push_back(aRequest);
  ++mSize;
  return shed;
}

std::optional<WaitingRequest>
WaitQueue::Pop()
{
  if (mLevels.empty()) {
    return std::nullopt;
  }
  const auto highest = std::prev(mLevels.end());
  WaitingRequest request = highest->second.front();
  highest->second.pop_front();
  --mSize;
  DropEmptyLevel(highest->first);
  return request;
}

std::vector<ShedRequest>
WaitQueue::Expire(base::Time aNow)
{
  std::vector<ShedRequest> shed;
  const auto expired = [&](const WaitingRequest& aRequest) {
    if (!aRequest.mDeadline || *aRequest.mDeadline > aNow) {
      return false;
    }
    shed.push_back({ aRequest.mRequest, base::Reason::DeadlinePassed });
    return true;
  };
  for (auto it = mLevels.begin(); it != mLevels.end();) {
    auto& level = it->second;
    level.erase(std::remove_if(level.begin(), level.end(), expired),
                level.end());
    it = level.empty() ? mLevels.erase(it) : std::next(it);
  }
  mSize -= shed.size();
  return shed;
}

bool
WaitQueue::Remove(base::RequestId aRequest)
{
  for (auto& [priority, level] : mLevels) {
    const auto it = std::find_if(
      level.begin(), level.end(), [&](const WaitingRequest& aWaiting) {
        return aWaiting.mRequest == aRequest;
      });
    if (it != level.end()) {
      level.erase(it);
      --mSize;
      DropEmptyLevel(priority);
      return true;
    }
  }
  return false;
}

void
WaitQueue::DropEmptyLevel(std::int32_t aPriority)
{
  const auto it = mLevels.find(aPriority);
  if (it != mLevels.end() && it->second.empty()) {
    mLevels.erase(it);
  }
}

} // namespace dogwooddrum::coordination::admission
