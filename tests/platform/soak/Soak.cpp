// Soak SEED SECONDS guards against workloads that are lost, run twice or exceed
// a target's capacity, and against an old configuration, when daemons, a
// control member's disk, targets and links fail in overlapping sequences.
#include "dogwooddrum/daemon/Clock.h"
#include "dogwooddrum/transport/HttpClient.h"
#include "tests/platform/soak/FakeTarget.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace dogwooddrum::tests {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int kControls = 3;
constexpr int kEntries = 2;
constexpr int kAgents = 4;
constexpr std::int64_t kHeartbeatMs = 300;
/** Limit for all accepted workloads to end after the last fault. */
constexpr std::int64_t kSettleLimitMs = 60000;
/** Link faults have a random generator of their own, so that the other faults
 * of a seed do not depend on them. */
constexpr std::uint64_t kLinkSeedOffset = 1000000;

enum class NodeKind
{
  Control,
  Entry,
  Agent,
  Target,
};

/** Runs daemons as processes on loopback with fake targets. Kills, pauses,
 * terminates and restarts processes, wipes a control member's disk, restarts
 * targets, and resets, silences or holds back one or both directions of the
 * connections to them, while callers submit workloads. */
class Soak
{
public:
  explicit Soak(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mLinkRandom(aSeed + kLinkSeedOffset)
    , mPort(static_cast<std::uint16_t>(20000 + (::getpid() * 37) % 20000))
    , mNetwork(2)
  {
    std::string name =
      (std::filesystem::temp_directory_path() / "dogwooddrum-soak-XXXXXX")
        .string();
    mFolder = ::mkdtemp(name.data());
    for (int i = 0; i < kAgents; ++i) {
      mTargets.push_back(std::make_unique<FakeTarget>(
        mNetwork,
        transport::Address{ Ip(NodeKind::Target, i), mPort },
        "i-" + std::to_string(i),
        mRecord,
        aSeed + static_cast<std::uint64_t>(i)));
    }
    ForEachProcess([this](const std::string& aName) { Start(aName); });
    mBootstrap = false;
    mHeartbeatThread = std::thread([this] { SendHeartbeats(); });
    mTickThread = std::thread([this] { TickTargets(); });
  }

  ~Soak()
  {
    mStopped = true;
    mHeartbeatThread.join();
    mTickThread.join();
    ForEachProcess([this](const std::string& aName) { Kill(aName); });
    mTargets.clear();
    mNetwork.Stop();
    if (mPassed) {
      std::filesystem::remove_all(mFolder);
    }
  }

  /** Returns whether all invariants held. */
  bool Run(std::int64_t aSeconds)
  {
    if (!WaitUntil(20000, [this] { return PutConfiguration(); })) {
      return ReportFailure("the first configuration was not accepted in 20 s");
    }
    const auto end = NowMs() + aSeconds * 1000;
    auto nextFault = NowMs() + 2000;
    auto nextLinkFault = nextFault;
    while (NowMs() < end) {
      if (NowMs() >= nextFault) {
        InjectProcessFault();
        nextFault = NowMs() + 300 + static_cast<int>(mRandom() % 1500);
      }
      if (NowMs() >= nextLinkFault) {
        InjectLinkFault();
        nextLinkFault = NowMs() + 300 + static_cast<int>(mLinkRandom() % 1500);
      }
      SubmitOne();
      Recover(false);
      std::this_thread::sleep_for(milliseconds(100));
    }
    Recover(true);
    const bool ended = WaitUntil(kSettleLimitMs, [this] { return AllEnded(); });
    return CheckInvariants(ended);
  }

private:
  static std::int64_t NowMs() { return base::ToMilliseconds(daemon::Now()); }

  template<typename F>
  static bool WaitUntil(std::int64_t aMs, const F& aCondition)
  {
    const auto end = NowMs() + aMs;
    while (!aCondition()) {
      if (NowMs() >= end) {
        return false;
      }
      std::this_thread::sleep_for(milliseconds(200));
    }
    return true;
  }

  static std::string Ip(NodeKind aKind, int aIndex)
  {
    return "127.0." + std::to_string(10 + static_cast<int>(aKind)) + "." +
           std::to_string(aIndex + 1);
  }

  template<typename F>
  static void ForEachProcess(const F& aFunction)
  {
    for (int i = 0; i < kControls; ++i) {
      aFunction("control" + std::to_string(i));
    }
    for (int i = 0; i < kEntries; ++i) {
      aFunction("entry" + std::to_string(i));
    }
    for (int i = 0; i < kAgents; ++i) {
      aFunction("agent" + std::to_string(i));
    }
  }

  std::string AddressOf(NodeKind aKind, int aIndex, int aOffset = 0) const
  {
    return Ip(aKind, aIndex) + ":" + std::to_string(mPort + aOffset);
  }

  void WriteSettings(const std::string& aName) const
  {
    const std::string role = aName.substr(0, aName.size() - 1);
    const int index = aName.back() - '0';
    std::string seeds;
    for (int i = 0; i < kControls; ++i) {
      seeds += (i == 0 ? "" : ",") + AddressOf(NodeKind::Control, i, 1);
    }
    const NodeKind kind = role == "control" ? NodeKind::Control
                          : role == "entry" ? NodeKind::Entry
                                            : NodeKind::Agent;
    std::ofstream out(mFolder + "/" + aName + ".ini");
    out << "[common]\nrole = " << role << "\nname = " << aName
        << "\nregion = r\nzone = z\nbind_address = " << Ip(kind, index)
        << "\nhttp_port = " << mPort + 2
        << "\nlink_port = " << (kind == NodeKind::Control ? mPort : 0)
        << "\nkey = 0123456789abcdef\ndrain_delay_ms = 200\n"
           "shutdown_limit_ms = 2000\n["
        << role << "]\n";
    if (kind == NodeKind::Control) {
      out << "data_folder = " << mFolder << "/" << aName
          << "\nseeds = " << seeds
          << "\nbootstrap = " << (mBootstrap ? "true" : "false")
          << "\noperator_address = " << AddressOf(kind, index, 1) << "\n";
    } else {
      out << "control_addresses = " << seeds
          << "\ncontrol_link_port = " << mPort << "\n"
          << (kind == NodeKind::Entry ? "frontend_address = "
                                      : "announce_address = ")
          << AddressOf(kind, index) << "\n";
    }
  }

  void Start(const std::string& aName)
  {
    WriteSettings(aName);
    std::vector<std::string> arguments = { DOGWOODDRUM_DAEMON,
                                           "--settings",
                                           mFolder + "/" + aName + ".ini" };
    std::vector<char*> pointers;
    for (auto& argument : arguments) {
      pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions,
                                     STDERR_FILENO,
                                     (mFolder + "/" + aName + ".log").c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     0600);
    pid_t pid = -1;
    if (posix_spawn(
          &pid, pointers[0], &actions, nullptr, pointers.data(), environ) ==
        0) {
      mPids[aName] = pid;
    }
    posix_spawn_file_actions_destroy(&actions);
  }

  void Kill(const std::string& aName)
  {
    const auto it = mPids.find(aName);
    if (it != mPids.end()) {
      ::kill(it->second, SIGKILL);
      ::waitpid(it->second, nullptr, 0);
      mPids.erase(it);
    }
  }

  std::string RandomProcess()
  {
    std::vector<std::string> names;
    ForEachProcess([&](const std::string& aName) { names.push_back(aName); });
    return names[mRandom() % names.size()];
  }

  void InjectProcessFault()
  {
    const std::string name = RandomProcess();
    const auto kind = mRandom() % 5;
    const auto until = NowMs() + 200 + static_cast<int>(mRandom() % 4000);
    if (kind == 0) {
      const auto target = mRandom() % mTargets.size();
      std::printf("restart target %zu\n", static_cast<std::size_t>(target));
      mTargets[target]->Restart();
      return;
    }
    if (mPids.count(name) == 0 || mFaultEnds.count(name) > 0) {
      return;
    }
    mFaultEnds[name] = until;
    if (kind == 1) {
      std::printf("pause %s\n", name.c_str());
      ::kill(mPids[name], SIGSTOP);
    } else if (kind == 2) {
      std::printf("terminate %s\n", name.c_str());
      ::kill(mPids[name], SIGTERM);
    } else {
      std::printf("kill %s\n", name.c_str());
      Kill(name);
      MaybeWipeDisk(name);
    }
  }

  /** Injects a fault into the connections between a target and its agent. Data
   * held longer than the timeout of a call arrives as a late order or a late
   * answer. */
  void InjectLinkFault()
  {
    const auto index = mLinkRandom() % mTargets.size();
    auto& proxy = mTargets[index]->Proxy();
    const auto until = NowMs() + 100 + static_cast<int>(mLinkRandom() % 4000);
    static constexpr std::array<const char*, 5> kNames{
      "reset", "silence", "hold requests", "hold answers", "hold both"
    };
    const auto kind = mLinkRandom() % kNames.size();
    std::printf(
      "%s target %zu\n", kNames.at(kind), static_cast<std::size_t>(index));
    if (kind == 0) {
      proxy.Cut();
    } else if (kind == 1) {
      proxy.Silence();
    } else {
      proxy.HoldRequests(kind != 3);
      proxy.HoldAnswers(kind != 2);
      mHeldUntil[index] = until;
    }
  }

  void ReleaseLinks(bool aAll)
  {
    for (auto it = mHeldUntil.begin(); it != mHeldUntil.end();) {
      if (!aAll && NowMs() < it->second) {
        ++it;
        continue;
      }
      mTargets[it->first]->Proxy().HoldRequests(false);
      mTargets[it->first]->Proxy().HoldAnswers(false);
      it = mHeldUntil.erase(it);
    }
  }

  /** Wipes the disk of a control member, if this is the only fault and an
   * earlier lost disk has been repaired. */
  void MaybeWipeDisk(const std::string& aName)
  {
    constexpr std::int64_t kRepairMs = 12000;
    const bool isOnlyFault = mFaultEnds.size() == 1;
    if (aName.rfind("control", 0) == 0 && isOnlyFault && NowMs() >= mNextWipe) {
      std::printf("wipe %s\n", aName.c_str());
      std::filesystem::remove_all(mFolder + "/" + aName);
      mNextWipe = NowMs() + kRepairMs;
    }
  }

  /** Ends faults whose time is over, and restarts processes that have
   * exited. */
  void Recover(bool aAll)
  {
    ReleaseLinks(aAll);
    for (auto it = mFaultEnds.begin(); it != mFaultEnds.end();) {
      if (!aAll && NowMs() < it->second) {
        ++it;
        continue;
      }
      const auto process = mPids.find(it->first);
      if (process != mPids.end()) {
        ::kill(process->second, SIGCONT);
      }
      it = mFaultEnds.erase(it);
    }
    ForEachProcess([&](const std::string& aName) {
      const auto it = mPids.find(aName);
      if (it != mPids.end() && ::waitpid(it->second, nullptr, WNOHANG) != 0) {
        mPids.erase(it);
      }
      if (mPids.count(aName) == 0 && mFaultEnds.count(aName) == 0) {
        Start(aName);
      }
    });
  }

  transport::HttpOutcome Call(NodeKind aKind,
                              int aIndex,
                              int aOffset,
                              const std::string& aMethod,
                              const std::string& aPath,
                              const std::string& aBody) const
  {
    transport::HttpClientOptions options;
    options.mIp = Ip(aKind, aIndex);
    options.mPort = static_cast<std::uint16_t>(mPort + aOffset);
    transport::HttpClient client(options);
    transport::HttpRequest request;
    request.mMethod = aMethod;
    request.mTarget = aPath;
    request.mBody = aBody;
    request.mHeaders["Host"] = "h";
    request.mHeaders["Api-Key"] = "k";
    return client.Call(request, base::Milliseconds(1000));
  }

  bool PutConfiguration()
  {
    const Json route = { { "name", "r" },          { "host", "h" },
                         { "path_prefix", "/p/" }, { "service", "s" },
                         { "timeout_ms", 3000 },   { "max_attempts", 4 } };
    const Json body = {
      { "version", 3 },
      { "routes", Json::array({ route }) },
      { "services", Json::array({ { { "name", "s" } } }) },
      { "tenants",
        Json::array({ { { "name", "t" }, { "api_keys", { "k" } } } }) }
    };
    mConfiguration = body.dump();
    for (int i = 0; i < kControls; ++i) {
      const auto outcome =
        Call(NodeKind::Control, i, 1, "PUT", "/-/config", mConfiguration);
      if (outcome && outcome->mStatus == 200) {
        return true;
      }
    }
    return false;
  }

  void SubmitOne()
  {
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%016llx", ++mLastId);
    const Json step = { { "count", 1 + mRandom() % 3 },
                        { "cpu", 16000 },
                        { "mem_mb", 100 },
                        { "estimate_ms", 1000 } };
    const Json body = { { "spec", "x" }, { "steps", Json::array({ step }) } };
    const auto outcome = Call(NodeKind::Entry,
                              static_cast<int>(mRandom() % kEntries),
                              0,
                              "POST",
                              std::string("/p/") + id.data(),
                              body.dump());
    if (outcome && outcome->mStatus == 200) {
      mAccepted.insert(id.data());
    } else if (outcome && outcome->mStatus == 503) {
      mRejected.insert(id.data());
    }
  }

  bool AllEnded()
  {
    for (auto it = mAccepted.begin(); it != mAccepted.end();) {
      const auto outcome = Call(NodeKind::Entry, 0, 0, "GET", "/p/" + *it, "");
      if (outcome && outcome->mStatus == 410) {
        mLost.insert(*it);
        it = mAccepted.erase(it);
        continue;
      }
      const auto json =
        outcome ? Json::parse(outcome->mBody, nullptr, false) : Json();
      const std::string state =
        json.is_object() ? json.value("state", "") : std::string();
      if (state != "complete" && state != "failed") {
        return false;
      }
      ++mEndedCount;
      it = mAccepted.erase(it);
    }
    return true;
  }

  bool ReportFailure(const std::string& aMessage)
  {
    mPassed = false;
    std::printf("FAILED: %s; logs in %s\n", aMessage.c_str(), mFolder.c_str());
    return false;
  }

  bool CheckInvariants(bool aEnded)
  {
    bool passed = true;
    if (!aEnded) {
      passed = ReportFailure(*mAccepted.begin() + " has not ended");
    }
    for (const auto& id : mLost) {
      passed = ReportFailure(id + " was accepted but is unknown");
    }
    const std::lock_guard<std::mutex> lock(mRecord.mMutex);
    for (const auto& violation : mRecord.mViolations) {
      passed = ReportFailure(violation);
    }
    for (const auto& id : mRejected) {
      for (const auto& [task, starts] : mRecord.mStarts) {
        if (task.rfind(id, 0) == 0) {
          passed = ReportFailure(id + " was refused as not run but ran");
        }
      }
    }
    bool current = false;
    for (int i = 0; i < kControls; ++i) {
      const auto outcome =
        Call(NodeKind::Control, i, 1, "GET", "/-/config", "");
      current = current || (outcome && outcome->mBody == mConfiguration);
    }
    if (!current) {
      passed = ReportFailure("no member shows the accepted configuration");
    }
    std::printf("%d workloads ended, %zu refused, %zu tasks started\n",
                mEndedCount,
                mRejected.size(),
                mRecord.mStarts.size());
    return passed;
  }

  void SendHeartbeats()
  {
    while (!mStopped) {
      for (int i = 0; i < kAgents; ++i) {
        const auto [path, body] =
          mTargets[static_cast<std::size_t>(i)]->Heartbeat();
        Call(NodeKind::Agent, i, 0, "PUT", path, body);
      }
      std::this_thread::sleep_for(milliseconds(kHeartbeatMs));
    }
  }

  /** Ends due runs of all targets, since leases also end while an agent is down
   * or paused. */
  void TickTargets()
  {
    while (!mStopped) {
      for (const auto& target : mTargets) {
        target->Tick();
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
  }

  std::mt19937_64 mRandom;
  std::mt19937_64 mLinkRandom;
  const std::uint16_t mPort;
  std::string mFolder;
  bool mBootstrap = true;
  bool mPassed = true;
  transport::Network mNetwork;
  SharedRunRecord mRecord;
  std::vector<std::unique_ptr<FakeTarget>> mTargets;
  std::map<std::string, pid_t> mPids;
  std::map<std::string, std::int64_t>
    mFaultEnds; ///< end of the fault by process
  std::map<std::size_t, std::int64_t> mHeldUntil; ///< end of the hold by target
  std::int64_t mNextWipe = 0;
  std::string mConfiguration;
  unsigned long long mLastId = 0;
  std::set<std::string> mAccepted;
  std::set<std::string> mRejected;
  std::set<std::string> mLost;
  int mEndedCount = 0;
  std::atomic<bool> mStopped{ false };
  std::thread mHeartbeatThread;
  std::thread mTickThread;
};

} // namespace
} // namespace dogwooddrum::tests

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::fprintf(stderr, "usage: Soak SEED SECONDS\n");
    return 2;
  }
  const auto seed = std::strtoull(aArguments[1], nullptr, 10);
  const auto seconds = std::strtoll(aArguments[2], nullptr, 10);
  dogwooddrum::tests::Soak soak(seed);
  const bool passed = soak.Run(seconds);
  std::printf("seed %llu: %s\n", seed, passed ? "passed" : "FAILED");
  return passed ? 0 : 1;
}
