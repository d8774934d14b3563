// Soak SEED SECONDS [name=value...] guards against workloads that are lost, run
// twice or exceed a target's capacity, and against an old configuration or a
// group without a leader, when daemons, control members' disks, targets, links
// and the power of the whole system fail in overlapping sequences.
#include "tests/platform/soak/FakeTarget.h"
#include "tests/platform/soak/SoakCallers.h"
#include "tests/platform/soak/SoakOptions.h"
#include "tests/platform/soak/SoakProcesses.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <map>
#include <thread>

namespace dogwooddrum::tests {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kHeartbeatMs = 300;
/** Limit for all accepted workloads to end after the last fault. */
constexpr std::int64_t kSettleLimitMs = 60000;
/** Limit for the newest configuration to be readable after the last fault. */
constexpr std::int64_t kReadBackLimitMs = 15000;
/** Link faults have a random generator of their own, so that the other faults
 * of a seed do not depend on them. */
constexpr std::uint64_t kLinkSeedOffset = 1000000;
/** Power faults have a random generator of their own too. */
constexpr std::uint64_t kPowerSeedOffset = 2000000;
/** Time in which the group repairs itself after a member or disk is lost; no
 * other one is lost before. */
constexpr std::int64_t kRepairMs = 12000;
/** Time after SIGTERM after which the platform kills a process. */
constexpr std::int64_t kGraceMs = 6000;
/** Most open workloads per target. The targets complete them in about half of
 * kSettleLimitMs; without a limit, runs of a minute left a longer queue. */
constexpr int kOpenPerTarget = 30;
/** Each thread sends the heartbeats of this many targets. */
constexpr int kTargetsPerThread = 8;

/** Runs daemons as processes on loopback with fake targets. Kills, pauses,
 * terminates and restarts processes, wipes and replaces control members,
 * removes the power of all processes, restarts targets, and resets, silences or
 * holds back one or both directions of the connections to them, while callers
 * submit workloads. */
class Soak
{
public:
  explicit Soak(const SoakOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mLinkRandom(aOptions.mSeed + kLinkSeedOffset)
    , mPowerRandom(aOptions.mSeed + kPowerSeedOffset)
    , mNetwork(2)
    , mProcesses(aOptions)
    , mCallers(mProcesses,
               mRandom,
               static_cast<std::size_t>(kOpenPerTarget * aOptions.mAgents))
  {
    for (int i = 0; i < mOptions.mAgents; ++i) {
      mTargets.push_back(std::make_unique<FakeTarget>(
        mNetwork,
        transport::Address{ SoakProcesses::Ip(NodeKind::Target, i),
                            mProcesses.Port() },
        "i-" + std::to_string(i),
        mRecord,
        mOptions.mSeed + static_cast<std::uint64_t>(i)));
    }
    for (const auto& name : mProcesses.Names()) {
      mProcesses.Start(name);
    }
    mProcesses.EndBootstrap();
    for (int i = 0; i < mOptions.mAgents; i += kTargetsPerThread) {
      mThreads.emplace_back([this, i] {
        SendHeartbeats(i, std::min(i + kTargetsPerThread, mOptions.mAgents));
      });
    }
    mThreads.emplace_back([this] { TickTargets(); });
  }

  ~Soak()
  {
    mStopped = true;
    for (auto& thread : mThreads) {
      thread.join();
    }
    mProcesses.KillAll();
    mTargets.clear();
    mNetwork.Stop();
    if (mPassed) {
      std::filesystem::remove_all(mProcesses.Folder());
    }
  }

  /** Returns whether all invariants held. */
  bool Run()
  {
    if (!WaitUntil(20000, [this] { return mCallers.PutConfiguration(); })) {
      ReportFailure("the first configuration was not accepted in 20 s");
      return false;
    }
    mNextFault = SoakNowMs() + 2000;
    mNextLinkFault = mNextFault;
    mNextPowerFault = SoakNowMs() + 8000;
    RunFor(mOptions.mSeconds * 1000, mOptions.mRandomFaults);
    Recover(true);
    if (mOptions.mFinalPowerLoss) {
      InjectFinalFault();
    }
    if (!WaitUntil(kReadBackLimitMs,
                   [this] { return mCallers.CanReadConfiguration(); })) {
      ReportFailure("the configuration cannot be read back in " +
                    std::to_string(kReadBackLimitMs) + " ms");
    }
    WaitUntil(kSettleLimitMs, [this] { return mCallers.AllEnded(); });
    for (const auto& violation : mCallers.FindViolations(mRecord)) {
      ReportFailure(violation);
    }
    std::printf("%d workloads ended, %zu refused, %zu tasks started\n",
                mCallers.EndedCount(),
                mCallers.RefusedCount(),
                mRecord.mStarts.size());
    if (!mPassed) {
      mProcesses.PrintMemberLogs();
    }
    return mPassed;
  }

private:
  /** Waits for aCondition while processes that exit are started again. */
  template<typename F>
  bool WaitUntil(std::int64_t aMs, const F& aCondition)
  {
    const auto end = SoakNowMs() + aMs;
    while (!aCondition()) {
      if (SoakNowMs() >= end) {
        return false;
      }
      Recover(false);
      std::this_thread::sleep_for(milliseconds(200));
    }
    return true;
  }

  /** Submits workloads for a time, with or without random faults. */
  void RunFor(std::int64_t aMs, bool aWithFaults)
  {
    const auto end = SoakNowMs() + aMs;
    while (SoakNowMs() < end) {
      if (aWithFaults && SoakNowMs() >= mNextFault) {
        InjectProcessFault();
        mNextFault = SoakNowMs() + 300 + static_cast<int>(mRandom() % 1500);
      }
      if (aWithFaults && SoakNowMs() >= mNextLinkFault) {
        InjectLinkFault();
        mNextLinkFault =
          SoakNowMs() + 300 + static_cast<int>(mLinkRandom() % 1500);
      }
      if (mOptions.mPowerFaults && SoakNowMs() >= mNextPowerFault) {
        // A planned replacement calls RunFor, which must not begin another.
        mNextPowerFault = SoakNowMs() + kRepairMs;
        InjectPowerFault();
      }
      mCallers.SubmitOne();
      Recover(false);
      std::this_thread::sleep_for(milliseconds(100));
    }
  }

  std::string RandomProcess()
  {
    const auto names = mProcesses.Names();
    return names[mRandom() % names.size()];
  }

  int RandomControl()
  {
    const auto controls = mProcesses.Controls();
    return controls[mPowerRandom() % controls.size()];
  }

  void InjectProcessFault()
  {
    const std::string name = RandomProcess();
    const auto kind = mRandom() % 5;
    const auto until = SoakNowMs() + 200 + static_cast<int>(mRandom() % 4000);
    if (kind == 0) {
      const auto target = mRandom() % mTargets.size();
      std::printf("restart target %zu\n", static_cast<std::size_t>(target));
      mTargets[target]->Restart();
      return;
    }
    if (!mProcesses.IsRunning(name) || mFaultEnds.count(name) > 0) {
      return;
    }
    mFaultEnds[name] = until;
    if (kind == 1) {
      std::printf("pause %s\n", name.c_str());
      mProcesses.Signal(name, SIGSTOP);
    } else if (kind == 2) {
      std::printf("terminate %s\n", name.c_str());
      mProcesses.Signal(name, SIGTERM);
    } else {
      std::printf("kill %s\n", name.c_str());
      mProcesses.Kill(name);
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
    const auto until =
      SoakNowMs() + 100 + static_cast<int>(mLinkRandom() % 4000);
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
      if (!aAll && SoakNowMs() < it->second) {
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
    const bool isOnlyFault = mFaultEnds.size() == 1;
    if (aName.rfind("control", 0) == 0 && isOnlyFault &&
        SoakNowMs() >= mNextWipe) {
      std::printf("wipe %s\n", aName.c_str());
      mProcesses.WipeDisk(std::stoi(aName.substr(7)));
      mNextWipe = SoakNowMs() + kRepairMs;
    }
  }

  /** Replaces a member, or removes the power of all processes, with the loss of
   * as many disks as tolerated if an earlier loss has been repaired. */
  void InjectPowerFault()
  {
    const bool isRepaired = SoakNowMs() >= mNextWipe;
    const auto kind = mPowerRandom() % 4;
    if (kind <= 1 && isRepaired) {
      Recover(true);
      kind == 0 ? ReplacePlain(RandomControl()) : ReplacePlanned();
      mNextWipe = SoakNowMs() + kRepairMs;
      return;
    }
    const int wiped =
      isRepaired
        ? static_cast<int>(mPowerRandom() % (mOptions.mControls / 2 + 1))
        : 0;
    LosePower(wiped,
              1000 + static_cast<std::int64_t>(mPowerRandom() %
                                               (mOptions.mDownMs - 999)),
              mPowerRandom() % 2 == 0,
              RestartList::Usual);
    mNextWipe = SoakNowMs() + kRepairMs;
  }

  /** Removes a member for good; an empty one at another address starts. */
  void ReplacePlain(int aOld)
  {
    mFaultEnds.erase("control" + std::to_string(aOld));
    mProcesses.RemoveControl(aOld);
    std::printf("replace control%d\n", aOld);
    StartSuccessor();
  }

  /** Starts an empty member at another address; 5 s later a member gets SIGTERM
   * and leaves. */
  void ReplacePlanned()
  {
    const int old = RandomControl();
    const std::string name = "control" + std::to_string(old);
    StartSuccessor();
    RunFor(5000, false);
    std::printf("terminate and remove %s\n", name.c_str());
    mFaultEnds.erase(name);
    mProcesses.Terminate(name, kGraceMs);
    mProcesses.RemoveControl(old);
  }

  void StartSuccessor()
  {
    const auto name = "control" + std::to_string(mProcesses.AddControl());
    std::printf("start %s\n", name.c_str());
    mProcesses.Start(name);
  }

  /** Kills all processes at once, wipes disks, and starts all processes in
   * random order after aDownMs. */
  void LosePower(int aWiped,
                 std::int64_t aDownMs,
                 bool aRestartTargets,
                 RestartList aList)
  {
    ReleaseLinks(true);
    mFaultEnds.clear();
    mProcesses.KillAll();
    const auto back = SoakNowMs() + aDownMs;
    auto controls = mProcesses.Controls();
    std::shuffle(controls.begin(), controls.end(), mPowerRandom);
    controls.resize(static_cast<std::size_t>(aWiped));
    std::printf("lose power for %d ms", static_cast<int>(aDownMs));
    for (const int control : controls) {
      std::printf(", wipe control%d", control);
      mProcesses.WipeDisk(control);
    }
    std::printf(aRestartTargets ? ", restart targets\n" : "\n");
    if (aRestartTargets) {
      for (const auto& target : mTargets) {
        target->Restart();
      }
    }
    auto names = mProcesses.Names();
    std::shuffle(names.begin(), names.end(), mPowerRandom);
    std::this_thread::sleep_for(milliseconds(back - SoakNowMs()));
    if (aList != RestartList::Usual) {
      std::sort(controls.begin(), controls.end());
      mProcesses.OverrideSeeds(aList == RestartList::Wiped ? controls
                               : aList == RestartList::Stale
                                 ? std::vector<int>{ 0, 1, 2 }
                                 : std::vector<int>{});
    }
    for (const auto& name : names) {
      mProcesses.Start(name);
      std::this_thread::sleep_for(milliseconds(
        mOptions.mSpreadMs / static_cast<std::int64_t>(names.size())));
    }
    mProcesses.OverrideSeeds(std::nullopt);
  }

  void InjectFinalFault()
  {
    if (mOptions.mReplacement == Replacement::Planned) {
      ReplacePlanned();
    } else if (mOptions.mReplacement == Replacement::Leader) {
      ReplacePlain(mCallers.FindLeader().value_or(0));
    } else if (mOptions.mReplacement != Replacement::None) {
      ReplacePlain(RandomControl());
    }
    if (mOptions.mReplacement == Replacement::Twice) {
      RunFor(6000, false);
      ReplacePlain(RandomControl());
    }
    if (mOptions.mReplacement != Replacement::None) {
      RunFor(mOptions.mSettleMs, false);
    }
    if (!WaitUntil(kReadBackLimitMs,
                   [this] { return mCallers.PutConfiguration(); })) {
      ReportFailure("no configuration was accepted before the final fault");
    }
    LosePower(mOptions.mWiped,
              mOptions.mDownMs,
              mOptions.mRestartTargets,
              mOptions.mRestartList);
  }

  /** Ends faults whose time is over, and starts processes that have exited. */
  void Recover(bool aAll)
  {
    ReleaseLinks(aAll);
    for (auto it = mFaultEnds.begin(); it != mFaultEnds.end();) {
      if (!aAll && SoakNowMs() < it->second) {
        ++it;
        continue;
      }
      mProcesses.Signal(it->first, SIGCONT);
      it = mFaultEnds.erase(it);
    }
    mProcesses.ReapExited();
    for (const auto& name : mProcesses.Names()) {
      if (!mProcesses.IsRunning(name) && mFaultEnds.count(name) == 0 &&
          mProcesses.MayStart(name)) {
        mProcesses.Start(name);
      }
    }
    if (mOptions.mSeeds == SeedList::Operator) {
      mProcesses.UpdateSettings();
    }
  }

  void ReportFailure(const std::string& aMessage)
  {
    mPassed = false;
    std::printf("FAILED: %s; logs in %s\n",
                aMessage.c_str(),
                mProcesses.Folder().c_str());
  }

  void SendHeartbeats(int aFirst, int aEnd)
  {
    while (!mStopped) {
      for (int i = aFirst; i < aEnd; ++i) {
        const auto [path, body] =
          mTargets[static_cast<std::size_t>(i)]->Heartbeat();
        mProcesses.Call(NodeKind::Agent, i, 0, "PUT", path, body);
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

  const SoakOptions mOptions;
  std::mt19937_64 mRandom;
  std::mt19937_64 mLinkRandom;
  std::mt19937_64 mPowerRandom;
  bool mPassed = true;
  transport::Network mNetwork;
  SharedRunRecord mRecord;
  SoakProcesses mProcesses;
  SoakCallers mCallers;
  std::vector<std::unique_ptr<FakeTarget>> mTargets;
  std::map<std::string, std::int64_t>
    mFaultEnds; ///< end of the fault by process
  std::map<std::size_t, std::int64_t> mHeldUntil; ///< end of the hold by target
  std::int64_t mNextFault = 0;
  std::int64_t mNextLinkFault = 0;
  std::int64_t mNextPowerFault = 0;
  std::int64_t mNextWipe = 0;
  std::atomic<bool> mStopped{ false };
  std::vector<std::thread> mThreads;
};

} // namespace
} // namespace dogwooddrum::tests

int
main(int aCount, char** aArguments)
{
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const auto options = dogwooddrum::tests::ReadSoakOptions(aCount, aArguments);
  if (!options) {
    return 2;
  }
  dogwooddrum::tests::Soak soak(*options);
  const bool passed = soak.Run();
  std::printf("seed %llu: %s\n",
              static_cast<unsigned long long>(options->mSeed),
              passed ? "passed" : "FAILED");
  return passed ? 0 : 1;
}
