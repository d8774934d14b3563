// Guards against a group that stays without a leader, or a process that stays
// without its group, after a loss of all power: settings then name few members,
// none, or only those whose disks are lost.
#include "tests/support/SeededGroup.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace dogwooddrum::tests {
namespace {

using support::Eventually;
using support::kRecoveryLimit;
using support::SeededGroup;

// All processes lost power, one member its disk, and no member was known when
// the settings were written: each process refused to start.
TEST(MemberDiscovery, GroupReturnsAfterALossOfAllPowerWithoutSeeds)
{
  SeededGroup group;
  const SeededGroup::Seeds names{ "control1", "control2", "control3" };
  ASSERT_TRUE(group.Found(names, 1));
  for (const auto& name : names) {
    group.Kill(name);
  }
  group.WipeDisk("control2");
  for (const auto& name : names) {
    group.WriteControl(name, {}, false, 1);
    group.Start(name);
  }
  EXPECT_TRUE(group.AreAllReady());
}

// With two of five disks lost, the settings named only these two members, which
// knew nobody else and never joined the group again.
TEST(MemberDiscovery, GroupReturnsIfTheSeedsAreTheMembersWithoutDisks)
{
  SeededGroup group;
  const SeededGroup::Seeds names{
    "control1", "control2", "control3", "control4", "control5"
  };
  ASSERT_TRUE(group.Found(names, 2));
  const SeededGroup::Seeds wiped{ "control4", "control1" };
  // Waits until the two that are no seeds have become voters.
  std::this_thread::sleep_for(std::chrono::seconds(4));
  for (const auto& name : names) {
    group.Kill(name);
  }
  for (const auto& name : wiped) {
    group.WipeDisk(name);
  }
  for (const auto& name : names) {
    group.WriteControl(name, wiped, false, 2);
    group.Start(name);
  }
  EXPECT_TRUE(group.AreAllReady());
}

// A process that replaced a member at another address never learned of seeds
// that its settings named later without a signal.
TEST(MemberDiscovery, SeedsThatChangeWithoutASignalAreRead)
{
  SeededGroup group;
  const SeededGroup::Seeds names{ "control1", "control2", "control3" };
  ASSERT_TRUE(group.Found(names, 1));
  group.Kill("control3");
  group.WriteControl("control4", {}, false, 1);
  group.Start("control4");
  std::this_thread::sleep_for(std::chrono::seconds(2));
  EXPECT_FALSE(group.IsReady("control4"));
  group.WriteControl("control4", { "control1", "control2" }, false, 1);
  EXPECT_TRUE(group.AreAllReady());
}

// An entry that started while no member was known refused to start, and one
// that knew only a process outside the group found no leader.
TEST(MemberDiscovery, EntriesFindTheGroupThroughLaterSettingsAndOutsiders)
{
  SeededGroup group;
  const SeededGroup::Seeds names{ "control1", "control2", "control3" };
  ASSERT_TRUE(group.Found(names, 1));
  ASSERT_TRUE(Eventually([&] {
    return group.PutConfiguration("control1") ||
           group.PutConfiguration("control2") ||
           group.PutConfiguration("control3");
  }));
  group.WriteEntry("entry1", {});
  group.Start("entry1");
  // The group is complete: one process becomes its learner, so that the next
  // one stays outside.
  group.WriteControl("control4", names, false, 1);
  group.Start("control4");
  ASSERT_TRUE(Eventually([&] {
    return !group.LogLines("control4", "name=membership_changed").empty();
  }));
  group.WriteControl("control5", names, false, 1);
  group.Start("control5");
  group.WriteEntry("entry2", { "control5" });
  group.Start("entry2");
  EXPECT_TRUE(
    Eventually([&] { return group.IsReady("entry2"); }, kRecoveryLimit));
  EXPECT_TRUE(group.LogLines("control5", "name=membership_changed").empty());
  group.WriteEntry("entry1", { "control1" });
  EXPECT_TRUE(
    Eventually([&] { return group.IsReady("entry1"); }, kRecoveryLimit));
}

// Entries and agents for jobs ignored settings that changed, so that one that
// started while no member was known never found the group.
TEST(MemberDiscovery, JobEntriesFindTheGroupThroughLaterSettings)
{
  SeededGroup group;
  const SeededGroup::Seeds names{ "control1", "control2", "control3" };
  ASSERT_TRUE(group.Found(names, 1));
  group.WriteJobEntry("entry1", { "control1" });
  group.Start("entry1");
  EXPECT_TRUE(
    Eventually([&] { return group.IsReady("entry1"); }, kRecoveryLimit));
  group.WriteJobEntry("entry2", {});
  group.Start("entry2");
  std::this_thread::sleep_for(std::chrono::seconds(1));
  group.WriteJobEntry("entry2", { "control1" });
  EXPECT_TRUE(
    Eventually([&] { return group.IsReady("entry2"); }, kRecoveryLimit));
}

// A member whose disk stayed full opened its folder again each second and
// answered heartbeats in between, so that the leader never replaced it.
TEST(MemberDiscovery, MemberWhoseDiskStaysFullIsReplaced)
{
  std::signal(SIGXFSZ, SIG_IGN);
  SeededGroup group;
  const SeededGroup::Seeds names{ "control1", "control2", "control3" };
  ASSERT_TRUE(group.Found(names, 1));
  group.WriteControl("control4", names, false, 1);
  group.Start("control4");
  std::this_thread::sleep_for(std::chrono::seconds(2));
  EXPECT_FALSE(group.IsReady("control4"));
  int version = 3;
  std::string leader;
  ASSERT_TRUE(Eventually([&] {
    ++version;
    for (const auto& name : names) {
      leader = group.PutConfiguration(name, version) ? name : leader;
    }
    return !leader.empty();
  }));
  // A follower knows the present term, so that it answers heartbeats without
  // a write.
  group.FillDisk(leader == names[0] ? names[1] : names[0]);
  EXPECT_TRUE(Eventually(
    [&] {
      ++version;
      for (const auto& name : names) {
        group.PutConfiguration(name, version);
      }
      return group.IsReady("control4");
    },
    kRecoveryLimit));
}

} // namespace
} // namespace dogwooddrum::tests
