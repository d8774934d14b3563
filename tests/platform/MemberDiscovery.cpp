// Guards against a group that stays without a leader, or a process that stays
// without its group, after a loss of all power: settings then name few members,
// none, or only those whose disks are lost.
#include "tests/support/ProcessCluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace dogwooddrum::tests {
namespace {

using support::Eventually;

/** Time after the restart in which the group must serve again. */
constexpr std::chrono::seconds kRecoveryLimit(12);
constexpr int kLinkPortOffset = 0;
constexpr int kOperatorPortOffset = 1;
constexpr int kHttpPortOffset = 2;

/** Control members and entries on loopback addresses of their own, whose
 * settings name seeds. Kills its processes at the end. */
class SeededGroup
{
public:
  using Seeds = std::vector<std::string>;

  SeededGroup()
  {
    std::string name =
      (std::filesystem::temp_directory_path() / "dogwooddrum-group-XXXXXX")
        .string();
    mFolder = ::mkdtemp(name.data());
  }
  ~SeededGroup()
  {
    while (!mPids.empty()) {
      Kill(mPids.begin()->first);
    }
    std::error_code ec;
    std::filesystem::remove_all(mFolder, ec);
  }
  SeededGroup(const SeededGroup&) = delete;
  SeededGroup& operator=(const SeededGroup&) = delete;

  static std::string Ip(const std::string& aName)
  {
    const bool isEntry = aName.rfind("entry", 0) == 0;
    return std::string("127.0.") + (isEntry ? "51." : "50.") + aName.back();
  }

  void WriteControl(const std::string& aName,
                    const Seeds& aSeeds,
                    bool aBootstrap,
                    int aToleratedLosses)
  {
    WriteSettings(aName,
                  "control",
                  "data_folder = " + mFolder + "/data-" + aName +
                    "\nseeds = " + Join(aSeeds) +
                    "\nbootstrap = " + (aBootstrap ? "true" : "false") +
                    "\ntolerated_losses = " + std::to_string(aToleratedLosses) +
                    "\noperator_address = " + Ip(aName) + ":" +
                    std::to_string(mPort + kOperatorPortOffset) + "\n");
  }

  void WriteEntry(const std::string& aName, const Seeds& aSeeds)
  {
    WriteSettings(
      aName,
      "entry",
      "control_addresses = " + Join(aSeeds) +
        "\ncontrol_link_port = " + std::to_string(mPort + kLinkPortOffset) +
        "\nfrontend_address = " + Ip(aName) + ":" + std::to_string(mPort) +
        "\n");
  }

  /** Writes the settings of an entry for jobs, which has no frontend. */
  void WriteJobEntry(const std::string& aName, const Seeds& aSeeds)
  {
    std::string addresses;
    for (const auto& name : aSeeds) {
      addresses += (addresses.empty() ? "" : ",") + Ip(name) + ":" +
                   std::to_string(mPort + kLinkPortOffset);
    }
    WriteSettings(aName, "entry", "control_addresses = " + addresses + "\n");
  }

  void Start(const std::string& aName)
  {
    const std::string settings = mFolder + "/" + aName + ".ini";
    std::array<char*, 4> arguments{ const_cast<char*>(kDaemon),
                                    const_cast<char*>("--settings"),
                                    const_cast<char*>(settings.c_str()),
                                    nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions,
                                     STDERR_FILENO,
                                     (mFolder + "/" + aName + ".log").c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     0600);
    pid_t pid = -1;
    ASSERT_EQ(::posix_spawn(
                &pid, kDaemon, &actions, nullptr, arguments.data(), environ),
              0);
    posix_spawn_file_actions_destroy(&actions);
    mPids[aName] = pid;
  }

  void Kill(const std::string& aName)
  {
    ::kill(mPids.at(aName), SIGKILL);
    ::waitpid(mPids.at(aName), nullptr, 0);
    mPids.erase(aName);
  }

  void WipeDisk(const std::string& aName) const
  {
    std::filesystem::remove_all(mFolder + "/data-" + aName);
  }

  /** Makes all writes of the process fail, as on a full disk. */
  void FillDisk(const std::string& aName) const
  {
    rlimit limit = {};
    ::prlimit(mPids.at(aName), RLIMIT_FSIZE, nullptr, &limit);
    limit.rlim_cur = 0;
    ::prlimit(mPids.at(aName), RLIMIT_FSIZE, &limit, nullptr);
  }

  bool IsReady(const std::string& aName) const
  {
    const auto outcome = Call(Ip(aName), kHttpPortOffset, "GET", "/readyz", "");
    return outcome && outcome->mStatus == 200;
  }

  /** Returns whether all processes are ready within the recovery limit. */
  bool AreAllReady() const
  {
    return Eventually(
      [this] {
        return std::all_of(mPids.begin(), mPids.end(), [this](const auto& aIt) {
          return IsReady(aIt.first);
        });
      },
      kRecoveryLimit);
  }

  bool PutConfiguration(const std::string& aName, int aVersion = 3) const
  {
    const auto outcome =
      Call(Ip(aName),
           kOperatorPortOffset,
           "PUT",
           "/-/config",
           R"({"version":)" + std::to_string(aVersion) +
             R"(,"routes":[{"name":"r","host":"h","path_prefix":"/p/",)"
             R"("service":"s","timeout_ms":3000}],"services":[{"name":"s"}],)"
             R"("tenants":[{"name":"t","api_keys":["k"]}]})");
    return outcome && outcome->mStatus == 200;
  }

private:
  static constexpr const char* kDaemon = DOGWOODDRUM_DAEMON;

  std::string Join(const Seeds& aNames) const
  {
    std::string text;
    for (const auto& name : aNames) {
      text += (text.empty() ? "" : ",") + Ip(name) + ":" +
              std::to_string(mPort + kOperatorPortOffset);
    }
    return text;
  }

  void WriteSettings(const std::string& aName,
                     const std::string& aRole,
                     const std::string& aSection) const
  {
    const bool isControl = aRole == "control";
    const std::string path = mFolder + "/" + aName + ".ini";
    std::ofstream(path + ".new")
      << "[common]\nrole = " << aRole << "\nname = " << aName
      << "\nregion = r\nzone = z\nbind_address = " << Ip(aName)
      << "\nhttp_port = " << mPort + kHttpPortOffset
      << "\nlink_port = " << (isControl ? mPort + kLinkPortOffset : 0)
      << "\nkey = 0123456789abcdef\n[" << aRole << "]\n"
      << aSection;
    std::filesystem::rename(path + ".new", path);
  }

  transport::HttpOutcome Call(const std::string& aIp,
                              int aPortOffset,
                              const std::string& aMethod,
                              const std::string& aPath,
                              const std::string& aBody) const
  {
    transport::HttpClientOptions options;
    options.mIp = aIp;
    options.mPort = static_cast<std::uint16_t>(mPort + aPortOffset);
    transport::HttpClient client(options);
    transport::HttpRequest request;
    request.mMethod = aMethod;
    request.mTarget = aPath;
    request.mBody = aBody;
    return client.Call(request, base::Milliseconds(1000));
  }

  std::string mFolder;
  const int mPort = 20000 + (::getpid() * 41) % 12000;
  std::map<std::string, pid_t> mPids;
};

/** Starts and founds a group, and waits until it has a leader. */
void
StartGroup(SeededGroup& aGroup,
           const SeededGroup::Seeds& aNames,
           int aToleratedLosses)
{
  const SeededGroup::Seeds seeds(aNames.begin(), aNames.begin() + 3);
  for (const auto& name : aNames) {
    aGroup.WriteControl(name, seeds, true, aToleratedLosses);
    aGroup.Start(name);
  }
  ASSERT_TRUE(aGroup.AreAllReady());
}

// All processes lost power, one member its disk, and no member was known when
// the settings were written: each process refused to start.
TEST(MemberDiscovery, GroupReturnsAfterALossOfAllPowerWithoutSeeds)
{
  SeededGroup group;
  const SeededGroup::Seeds names{ "control1", "control2", "control3" };
  ASSERT_NO_FATAL_FAILURE(StartGroup(group, names, 1));
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
  ASSERT_NO_FATAL_FAILURE(StartGroup(group, names, 2));
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
  ASSERT_NO_FATAL_FAILURE(StartGroup(group, names, 1));
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
  ASSERT_NO_FATAL_FAILURE(StartGroup(group, names, 1));
  ASSERT_TRUE(Eventually([&] {
    return group.PutConfiguration("control1") ||
           group.PutConfiguration("control2") ||
           group.PutConfiguration("control3");
  }));
  group.WriteEntry("entry1", {});
  group.Start("entry1");
  // The group is complete, so that this process stays outside.
  group.WriteControl("control4", names, false, 1);
  group.Start("control4");
  group.WriteEntry("entry2", { "control4" });
  group.Start("entry2");
  EXPECT_TRUE(
    Eventually([&] { return group.IsReady("entry2"); }, kRecoveryLimit));
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
  ASSERT_NO_FATAL_FAILURE(StartGroup(group, names, 1));
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
  ASSERT_NO_FATAL_FAILURE(StartGroup(group, names, 1));
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
