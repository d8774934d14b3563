// Guards against a server that refuses every new caller while old connections
// only wait, that closes a connection whose request may have run, or whose
// requests together hold more memory than its limit. Load: connections that
// never complete a request, beside ordinary ones.
#include "dogwooddrum/transport/ConnectionTable.h"

#include <gtest/gtest.h>

namespace dogwooddrum::transport {

namespace {

constexpr std::size_t kMaxBytes = 1000;

TEST(ConnectionLimits, LongestWaitingConnectionIsShedForANewOne)
{
  ConnectionTable table(3, kMaxBytes);
  for (ConnectionTable::Id id = 1; id <= 3; ++id) {
    EXPECT_TRUE(table.Add(id).mIsAdmitted);
  }
  table.BeginHandling(1); // its request may run
  table.BeginHandling(2);
  table.BeginReading(2); // waits since its last response
  const auto admitted = table.Add(4);
  EXPECT_TRUE(admitted.mIsAdmitted);
  EXPECT_EQ(admitted.mShed, ConnectionTable::Id{ 3 });
  EXPECT_EQ(table.Connections(), 3U);
}

TEST(ConnectionLimits, NewConnectionIsRefusedBesideRequestsInProgress)
{
  ConnectionTable table(2, kMaxBytes);
  for (ConnectionTable::Id id = 1; id <= 2; ++id) {
    table.Add(id);
    table.BeginHandling(id);
  }
  EXPECT_FALSE(table.Add(3).mIsAdmitted);
  table.Remove(1);
  EXPECT_TRUE(table.Add(4).mIsAdmitted);
}

TEST(ConnectionLimits, LackOfDescriptorsShedsWaitingConnectionsOnly)
{
  ConnectionTable table(100, kMaxBytes);
  for (ConnectionTable::Id id = 1; id <= 17; ++id) {
    table.Add(id);
  }
  table.BeginHandling(1);
  const std::vector<ConnectionTable::Id> expected = { 2, 3, 4 };
  EXPECT_EQ(table.ShedLongestWaiting(), expected);
  EXPECT_EQ(table.Connections(), 14U);
}

TEST(ConnectionLimits, LargestUnfinishedRequestIsShedForMemory)
{
  ConnectionTable table(10, kMaxBytes);
  for (ConnectionTable::Id id = 1; id <= 3; ++id) {
    table.Add(id);
  }
  EXPECT_FALSE(table.SetBytes(1, 600));
  table.BeginHandling(1); // not shed, although the largest
  EXPECT_FALSE(table.SetBytes(2, 300));
  EXPECT_EQ(table.SetBytes(3, 150), ConnectionTable::Id{ 2 });
  EXPECT_EQ(table.Bytes(), 750U);
}

TEST(ConnectionLimits, HeldRequestsCountUntilReleased)
{
  ConnectionTable table(10, kMaxBytes);
  table.Add(1);
  table.Hold(900);
  EXPECT_EQ(table.SetBytes(1, 200), ConnectionTable::Id{ 1 });
  table.Release(900);
  table.Add(2);
  EXPECT_FALSE(table.SetBytes(2, 200));
  EXPECT_FALSE(table.SetBytes(2, 0));
  EXPECT_EQ(table.Bytes(), 0U);
}

TEST(ConnectionLimits, FramingAllowsChunksOfOneByte)
{
  constexpr std::uint64_t kHeader = 100;
  constexpr std::uint64_t kChunkFraming = 5; // "1\r\n" and "\r\n"
  EXPECT_GE(MaxFramingBytes(kHeader, 1000), kHeader + 1000 * kChunkFraming);
  EXPECT_LT(MaxFramingBytes(kHeader, 1), kHeader + 16);
}

} // namespace

} // namespace dogwooddrum::transport
