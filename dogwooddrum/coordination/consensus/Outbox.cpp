#include "dogwooddrum/coordination/consensus/Outbox.h"

#include "dogwooddrum/coordination/consensus/LogView.h"

#include <algorithm>

namespace dogwooddrum::coordination::consensus {

namespace {

void
EraseFrom(std::vector<LogEntry>& aEntries, base::LogIndex aFrom)
{
  while (!aEntries.empty() && aEntries.back().mIndex >= aFrom) {
    aEntries.pop_back();
  }
}

} // namespace

PersistWork&
Outbox::PendingWork()
{
  if (!mPendingWork) {
    mPendingWork.emplace();
    mPendingWork->mId = NextId();
    const base::LogIndex last = mOutstandingWork.empty()
                                  ? mSyncedIndex
                                  : mOutstandingWork.back().mLastIndex;
    mOutstandingWork.push_back({ NextId(), last });
  }
  return *mPendingWork;
}

void
Outbox::Append(const LogEntry& aEntry)
{
  PendingWork().mEntries.push_back(aEntry);
  mOutstandingWork.back().mLastIndex = aEntry.mIndex;
}

void
Outbox::TruncateFrom(base::LogIndex aFrom)
{
  PersistWork& work = PendingWork();
  EraseFrom(work.mEntries, aFrom);
  work.mTruncateFrom = std::min(work.mTruncateFrom.value_or(aFrom), aFrom);
  // Limit older work to the entries before aFrom; otherwise its completion
  // would acknowledge the entries that replace the truncated ones.
  const base::LogIndex last = Before(aFrom);
  mSyncedIndex = std::min(mSyncedIndex, last);
  for (OutstandingWork& outstanding : mOutstandingWork) {
    outstanding.mLastIndex = std::min(outstanding.mLastIndex, last);
  }
}

void
Outbox::Install(const Snapshot& aSnapshot, bool aKeepSuffix)
{
  if (!aKeepSuffix) {
    TruncateFrom(After(aSnapshot.mIndex));
  }
  PersistWork& work = PendingWork();
  work.mSnapshot = aSnapshot;
  auto& entries = work.mEntries;
  entries.erase(std::remove_if(entries.begin(),
                               entries.end(),
                               [&](const LogEntry& aEntry) {
                                 return aEntry.mIndex <= aSnapshot.mIndex;
                               }),
                entries.end());
  mOutstandingWork.back().mLastIndex =
    std::max(mOutstandingWork.back().mLastIndex, aSnapshot.mIndex);
}

void
Outbox::SetHardState(const HardState& aHardState)
{
  PendingWork().mHardState = aHardState;
  mHardStateId = mPendingWork->mId;
}

void
Outbox::Send(Message aMessage)
{
  mSendableMessages.push_back(std::move(aMessage));
}

void
Outbox::SendWhenDurable(Message aMessage)
{
  if (mOutstandingWork.empty()) {
    Send(std::move(aMessage));
  } else {
    mHeldMessages.emplace_back(mOutstandingWork.back().mId,
                               std::move(aMessage));
  }
}

void
Outbox::OnPersisted(PersistId aId)
{
  while (!mOutstandingWork.empty() && mOutstandingWork.front().mId <= aId &&
         mOutstandingWork.front().mId <= mLastIssuedId) {
    mLastDurableId = mOutstandingWork.front().mId;
    mSyncedIndex = mOutstandingWork.front().mLastIndex;
    mOutstandingWork.pop_front();
  }
  while (!mHeldMessages.empty() &&
         mHeldMessages.front().first <= mLastDurableId) {
    mSendableMessages.push_back(std::move(mHeldMessages.front().second));
    mHeldMessages.pop_front();
  }
}

void
Outbox::Abandon()
{
  mPendingWork.reset();
  mOutstandingWork.clear();
  mHeldMessages.clear();
  mSendableMessages.clear();
}

void
Outbox::MoveInto(Ready& aReady)
{
  if (mPendingWork) {
    mLastIssuedId = mPendingWork->mId;
    aReady.mPersist = std::move(mPendingWork);
    mPendingWork.reset();
  }
  aReady.mMessages = std::move(mSendableMessages);
  mSendableMessages.clear();
}

} // namespace dogwooddrum::coordination::consensus
