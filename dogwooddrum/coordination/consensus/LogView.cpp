#include "dogwooddrum/coordination/consensus/LogView.h"

#include "dogwooddrum/base/Check.h"
#include "dogwooddrum/coordination/consensus/Codec.h"

namespace dogwooddrum::coordination::consensus {

LogView::LogView(const RecoveredState& aRecovered)
{
  mMemberships.emplace_back(base::LogIndex(), aRecovered.mInitialMembership);
  if (aRecovered.mSnapshot) {
    SetSnapshot(std::make_shared<const Snapshot>(*aRecovered.mSnapshot));
    mBaseIndex = mSnapshot->mIndex;
    mBaseTerm = mSnapshot->mTerm;
  }
  for (const LogEntry& entry : aRecovered.mEntries) {
    Append(entry);
  }
}

base::LogIndex
LogView::LastIndex() const
{
  return base::LogIndex(mBaseIndex.Value() + mEntries.size());
}

base::Term
LogView::LastTerm() const
{
  return mEntries.empty() ? mBaseTerm : mEntries.back().mTerm;
}

const LogEntry&
LogView::EntryAt(base::LogIndex aIndex) const
{
  return mEntries[aIndex.Value() - mBaseIndex.Value() - 1];
}

std::optional<base::Term>
LogView::TermAt(base::LogIndex aIndex) const
{
  if (aIndex == mBaseIndex) {
    return mBaseTerm;
  }
  if (aIndex < mBaseIndex || aIndex > LastIndex()) {
    return std::nullopt;
  }
  return EntryAt(aIndex).mTerm;
}

bool
LogView::CanSendAfter(base::LogIndex aIndex) const
{
  return aIndex >= mBaseIndex && aIndex <= LastIndex();
}

std::vector<LogEntry>
LogView::EntriesInRange(base::LogIndex aFrom,
                        base::LogIndex aTo,
                        std::uint64_t aMaxBytes) const
{
  std::vector<LogEntry> entries;
  std::uint64_t bytes = 0;
  for (base::LogIndex i = aFrom; i <= aTo; i = After(i)) {
    const LogEntry& entry = EntryAt(i);
    if (!entries.empty() && bytes + entry.mPayload.size() > aMaxBytes) {
      break;
    }
    bytes += entry.mPayload.size() + sizeof(LogEntry);
    entries.push_back(entry);
  }
  return entries;
}

std::uint64_t
LogView::BytesAfter(base::LogIndex aIndex, std::uint64_t aLimit) const
{
  std::uint64_t bytes = 0;
  for (base::LogIndex i = LastIndex(); i > aIndex && i > mBaseIndex;
       i = Before(i)) {
    bytes += EntryAt(i).mPayload.size() + sizeof(LogEntry);
    if (bytes >= aLimit) {
      break;
    }
  }
  return bytes;
}

void
LogView::Append(LogEntry aEntry)
{
  DOGWOODDRUM_INVARIANT(aEntry.mIndex == After(LastIndex()),
                        "log entry " + std::to_string(aEntry.mIndex.Value()) +
                          " does not follow " +
                          std::to_string(LastIndex().Value()));
  if (aEntry.mKind == EntryKind::Membership) {
    auto membership = protocol::Decode<Membership>(aEntry.mPayload);
    if (membership) {
      mMemberships.emplace_back(aEntry.mIndex, std::move(*membership));
    }
  }
  mEntries.push_back(std::move(aEntry));
}

void
LogView::TruncateFrom(base::LogIndex aFrom)
{
  while (!mEntries.empty() && mEntries.back().mIndex >= aFrom) {
    mEntries.pop_back();
  }
  while (mMemberships.size() > 1 && mMemberships.back().first >= aFrom) {
    mMemberships.pop_back();
  }
}

void
LogView::SetSnapshot(std::shared_ptr<const Snapshot> aSnapshot)
{
  mSnapshot = std::move(aSnapshot);
  auto it = mMemberships.begin();
  while (it != mMemberships.end() && it->first <= mSnapshot->mIndex) {
    ++it;
  }
  it = mMemberships.erase(mMemberships.begin(), it);
  mMemberships.emplace(it, mSnapshot->mIndex, mSnapshot->mMembership);
}

void
LogView::DropUpTo(base::LogIndex aIndex)
{
  while (!mEntries.empty() && mEntries.front().mIndex <= aIndex) {
    mBaseIndex = mEntries.front().mIndex;
    mBaseTerm = mEntries.front().mTerm;
    mEntries.pop_front();
  }
}

bool
LogView::Install(std::shared_ptr<const Snapshot> aSnapshot)
{
  const bool matches = TermAt(aSnapshot->mIndex) == aSnapshot->mTerm;
  if (matches) {
    DropUpTo(aSnapshot->mIndex);
  } else {
    mEntries.clear();
    mMemberships.clear();
  }
  mBaseIndex = aSnapshot->mIndex;
  mBaseTerm = aSnapshot->mTerm;
  SetSnapshot(std::move(aSnapshot));
  return matches;
}

void
LogView::Compact(std::shared_ptr<const Snapshot> aSnapshot,
                 std::uint64_t aTailBytes)
{
  const base::LogIndex covered = aSnapshot->mIndex;
  if (covered > LastIndex() || (mSnapshot && covered <= mSnapshot->mIndex)) {
    return;
  }
  SetSnapshot(std::move(aSnapshot));
  std::uint64_t bytes = 0;
  base::LogIndex keepFrom = After(covered);
  while (keepFrom > After(mBaseIndex) && bytes < aTailBytes) {
    keepFrom = Before(keepFrom);
    bytes += EntryAt(keepFrom).mPayload.size() + sizeof(LogEntry);
  }
  DropUpTo(Before(keepFrom));
}

const Membership&
LogView::CurrentMembership() const
{
  return mMemberships.back().second;
}

base::LogIndex
LogView::MembershipIndex() const
{
  return mMemberships.back().first;
}

const Membership&
LogView::MembershipAt(base::LogIndex aIndex) const
{
  auto it = mMemberships.rbegin();
  while (std::next(it) != mMemberships.rend() && it->first > aIndex) {
    ++it;
  }
  return it->second;
}

const std::shared_ptr<const Snapshot>&
LogView::LatestSnapshot() const
{
  return mSnapshot;
}

} // namespace dogwooddrum::coordination::consensus
