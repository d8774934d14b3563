#include "dogwooddrum/coordination/workloads/QueueHeads.h"

#include "dogwooddrum/coordination/workloads/WorkloadScheduler.h"

#include <tuple>

namespace dogwooddrum::coordination::workloads {

namespace {

/** Shorter waits as first of a level are not logged: in a full pool, each unit
 * has one. */
constexpr base::Duration kMinLoggedWait = base::Milliseconds(1000);

std::string
FormatMs(base::Duration aTime)
{
  return std::to_string(base::ToMilliseconds(aTime));
}

} // namespace

bool
operator<(const QueueLevel& aLeft, const QueueLevel& aRight)
{
  return std::tie(aLeft.mPool, aLeft.mPriority) <
         std::tie(aRight.mPool, aRight.mPriority);
}

const char*
ToString(HeadWaitCause aCause)
{
  switch (aCause) {
    case HeadWaitCause::Resources:
      return "resources";
    case HeadWaitCause::Fragmentation:
      return "fragmentation";
    case HeadWaitCause::Locality:
      return "locality";
    case HeadWaitCause::Headroom:
      return "headroom";
    case HeadWaitCause::Count:
      break;
  }
  return "unknown";
}

HeadWaitCause
FindHeadWaitCause(const PlacementUnit& aUnit,
                  const std::vector<WorkerView>& aWorkers,
                  const std::vector<ResourceVector>& aHeadroom)
{
  if (FitsOnAnyRack(aUnit, aWorkers)) {
    return HeadWaitCause::Locality;
  }
  if (!aHeadroom.empty()) {
    auto workers = aWorkers;
    for (std::size_t i = 0; i < workers.size(); ++i) {
      workers[i].mFree = workers[i].mFree + aHeadroom[i];
    }
    if (FitsOnAnyRack(aUnit, workers)) {
      return HeadWaitCause::Headroom;
    }
  }
  return FitsInTotal(aUnit, aWorkers) ? HeadWaitCause::Fragmentation
                                      : HeadWaitCause::Resources;
}

void
QueueHeads::Begin(base::Time aNow)
{
  mNow = aNow;
  mRecorded.clear();
}

bool
QueueHeads::HasHead(const QueueLevel& aLevel) const
{
  return mRecorded.count(aLevel) > 0;
}

void
QueueHeads::AddElapsed(Head& aHead) const
{
  aHead.mWaits.at(static_cast<std::size_t>(aHead.mCause)) +=
    mNow - aHead.mSeenAt;
  aHead.mSeenAt = mNow;
}

std::optional<WorkloadEvent>
QueueHeads::OnHeadWaits(const PlacementUnit& aUnit,
                        HeadWaitCause aCause,
                        base::Duration aStartDueIn)
{
  const QueueLevel level{ aUnit.mPool, aUnit.mPriority };
  mRecorded.insert(level);
  auto [it, isNew] = mHeads.try_emplace(level);
  Head& head = it->second;
  if (isNew || !(head.mTask == aUnit.mTasks.front())) {
    if (!isNew) {
      AddElapsed(head);
      mReplaced.emplace_back(level, head);
    }
    head = Head{};
    head.mTask = aUnit.mTasks.front();
    head.mSince = mNow;
    head.mSeenAt = mNow;
  }
  AddElapsed(head);
  head.mCause = aCause;
  if (aStartDueIn > base::Duration::zero() || head.mIsReportedOverdue ||
      mNow - head.mSince < kMinLoggedWait) {
    return std::nullopt;
  }
  head.mIsReportedOverdue = true;
  WorkloadEvent event;
  event.mKind = WorkloadEvent::Kind::QueueHeadOverdue;
  event.mFields = { { "pool", level.mPool.Value() },
                    { "priority", std::to_string(level.mPriority) },
                    { "task", ToString(head.mTask) },
                    { "tasks", std::to_string(aUnit.mTasks.size()) },
                    { "waited_ms", std::to_string(aUnit.mWaitedMs) },
                    { "cause", ToString(aCause) } };
  return event;
}

WorkloadEvent
QueueHeads::MakeEvent(const QueueLevel& aLevel, const Head& aHead)
{
  WorkloadEvent event;
  event.mKind = WorkloadEvent::Kind::QueueHeadWaited;
  event.mFields = { { "pool", aLevel.mPool.Value() },
                    { "priority", std::to_string(aLevel.mPriority) },
                    { "task", ToString(aHead.mTask) },
                    { "waited_ms", FormatMs(aHead.mSeenAt - aHead.mSince) } };
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(HeadWaitCause::Count)>
    kFields = {
      "resources_ms", "fragmentation_ms", "locality_ms", "headroom_ms"
    };
  const std::string prefix =
    aLevel.mPool.Value() + "/" + std::to_string(aLevel.mPriority) + "/";
  for (std::size_t i = 0; i < aHead.mWaits.size(); ++i) {
    event.mFields.emplace_back(kFields.at(i), FormatMs(aHead.mWaits.at(i)));
    if (aHead.mWaits.at(i) > base::Duration::zero()) {
      event.mHeadWaits.emplace_back(
        prefix + ToString(static_cast<HeadWaitCause>(i)), aHead.mWaits.at(i));
    }
  }
  return event;
}

std::vector<WorkloadEvent>
QueueHeads::Finish()
{
  for (auto it = mHeads.begin(); it != mHeads.end();) {
    if (mRecorded.count(it->first) > 0) {
      ++it;
      continue;
    }
    AddElapsed(it->second);
    mReplaced.emplace_back(it->first, it->second);
    it = mHeads.erase(it);
  }
  std::vector<WorkloadEvent> events;
  for (const auto& [level, head] : mReplaced) {
    if (head.mSeenAt - head.mSince >= kMinLoggedWait) {
      events.push_back(MakeEvent(level, head));
    }
  }
  mReplaced.clear();
  return events;
}

} // namespace dogwooddrum::coordination::workloads
