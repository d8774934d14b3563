#include "dogwooddrum/transport/ConnectionTable.h"

namespace dogwooddrum::transport {

namespace {

/** A chunk of one byte has five bytes of framing; some senders pad sizes with
 * zeros. */
constexpr std::uint64_t kFramingBytesPerBodyByte = 8;
/** Share of the waiting connections that is shed at once. */
constexpr std::size_t kShedShare = 8;

} // namespace

std::uint64_t
MaxFramingBytes(std::uint64_t aMaxHeaderBytes, std::uint64_t aBodyBytes)
{
  return aMaxHeaderBytes + kFramingBytesPerBodyByte * aBodyBytes;
}

ConnectionTable::ConnectionTable(std::size_t aMaxConnections,
                                 std::size_t aMaxBytes)
  : mMaxConnections(aMaxConnections)
  , mMaxBytes(aMaxBytes)
{
}

ConnectionTable::Admitted
ConnectionTable::Add(Id aId)
{
  Admitted admitted;
  if (mConnections.size() >= mMaxConnections) {
    if (mReading.empty()) {
      return admitted;
    }
    admitted.mShed = mReading.front();
    Forget(mConnections.find(mReading.front()));
  }
  admitted.mIsAdmitted = true;
  Connection connection;
  connection.mPosition = mReading.insert(mReading.end(), aId);
  mConnections.emplace(aId, connection);
  return admitted;
}

std::vector<ConnectionTable::Id>
ConnectionTable::ShedLongestWaiting()
{
  std::vector<Id> shed;
  const auto count = mReading.size() / kShedShare + 1;
  while (shed.size() < count && !mReading.empty()) {
    shed.push_back(mReading.front());
    Forget(mConnections.find(mReading.front()));
  }
  return shed;
}

void
ConnectionTable::Remove(Id aId)
{
  const auto it = mConnections.find(aId);
  if (it != mConnections.end()) {
    Forget(it);
  }
}

void
ConnectionTable::BeginReading(Id aId)
{
  const auto it = mConnections.find(aId);
  if (it != mConnections.end() && !it->second.mIsReading) {
    it->second.mIsReading = true;
    it->second.mPosition = mReading.insert(mReading.end(), aId);
  }
}

void
ConnectionTable::BeginHandling(Id aId)
{
  const auto it = mConnections.find(aId);
  if (it != mConnections.end() && it->second.mIsReading) {
    it->second.mIsReading = false;
    mReading.erase(it->second.mPosition);
  }
}

std::optional<ConnectionTable::Id>
ConnectionTable::SetBytes(Id aId, std::size_t aBytes)
{
  const auto it = mConnections.find(aId);
  if (it == mConnections.end()) {
    return std::nullopt;
  }
  const bool isMore = aBytes > it->second.mBytes;
  mBytes += aBytes - it->second.mBytes;
  it->second.mBytes = aBytes;
  if (!isMore || mBytes <= mMaxBytes) {
    return std::nullopt;
  }
  auto largest = mConnections.end();
  for (const auto id : mReading) {
    const auto reading = mConnections.find(id);
    if (largest == mConnections.end() ||
        reading->second.mBytes > largest->second.mBytes) {
      largest = reading;
    }
  }
  if (largest == mConnections.end()) {
    return std::nullopt;
  }
  const Id shed = largest->first;
  Forget(largest);
  return shed;
}

void
ConnectionTable::Forget(std::unordered_map<Id, Connection>::iterator aIt)
{
  mBytes -= aIt->second.mBytes;
  if (aIt->second.mIsReading) {
    mReading.erase(aIt->second.mPosition);
  }
  mConnections.erase(aIt);
}

} // namespace dogwooddrum::transport
