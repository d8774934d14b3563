#include "review/fleet/Fleet.h"

#include <csignal>
#include <cstdio>

// A control member is replaced as planned: its successor runs for longer than
// catch_up_s before the member gets SIGTERM and leaves. A moment later another
// member loses its disk. The group never has a leader again, and what was
// acknowledged is gone.

namespace {

using review::NowMs;
using review::SleepMs;

constexpr int kOk = 200;
constexpr std::int64_t kCatchUpMs = 4000;
constexpr std::int64_t kGraceMs = 6000;
/** Between the end of the member that leaves and the loss of a disk. */
constexpr std::int64_t kPauseMs = 1000;
constexpr std::int64_t kDownMs = 1000;
constexpr std::int64_t kRecoveryMs = 12000;
/** Longer than recovery_s and what the operator waits at the end of a day. */
constexpr std::int64_t kReadMs = 2 * kRecoveryMs;
constexpr const char* kPrefix = "/lohu930/";
constexpr const char* kPath = "/lohu930/5c0e7a21d94b36f8";

/** Reads the configuration at all members until one has it. Returns its
 * version, or 0. */
std::uint64_t
ReadVersion(review::Fleet& aFleet,
            review::Record& aRecord,
            const std::vector<int>& aControls)
{
  const auto end = NowMs() + kReadMs;
  std::string statuses;
  while (NowMs() < end) {
    statuses.clear();
    for (const int control : aControls) {
      const auto answer = aFleet.ReadConfig(control);
      if (answer.mStatus == kOk) {
        return review::Json::parse(answer.mBody)["version"];
      }
      statuses +=
        " " + std::to_string(control) + ": " + std::to_string(answer.mStatus);
    }
    SleepMs(500);
  }
  aRecord.Add("the last reads of the configuration, by member:" + statuses);
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::fprintf(stderr, "usage: case FOLDER RECORD\n");
    return review::kCannotRun;
  }
  review::Record record(aArguments[2]);
  review::FleetOptions options;
  options.mFolder = aArguments[1];
  options.mWorkMs = [](const std::string&) { return 2000; };
  review::Fleet fleet(options, record);
  const auto config = [](std::uint64_t aVersion) {
    return review::MakeConfig(aVersion, { { "r-ce7ejsm", kPrefix } });
  };
  if (!fleet.Start(config(7))) {
    record.Add("the deployment does not serve");
    return review::kCannotRun;
  }
  const int leader = fleet.FindLeader();
  if (leader == 0 ||
      fleet.CallEntry(1, "POST", kPath, review::MakeJob(1, 1)).mStatus != kOk) {
    record.Add("no leader, or the job was not accepted");
    return review::kCannotRun;
  }
  const std::string wiped = "control-" + std::to_string(leader);
  const int left = leader % review::kZones + 1;
  const std::string leaving = "control-" + std::to_string(left);
  std::vector<int> controls = { 1, 2, 3 };
  const bool hasTrouble = review::HasTrouble();
  if (hasTrouble) {
    record.Add("control-4 starts, to replace " + leaving);
    fleet.StartProcess("control-4");
    SleepMs(kCatchUpMs + 1000);
    record.Add(leaving + " gets SIGTERM and is removed");
    fleet.Signal(leaving, SIGTERM);
    const auto deadline = NowMs() + kGraceMs;
    while (fleet.IsRunning(leaving) && NowMs() < deadline) {
      SleepMs(20);
    }
    fleet.Signal(leaving, SIGKILL);
    record.Add(leaving + " has ended");
    controls.clear();
    for (int i = 1; i <= review::kZones + 1; ++i) {
      if (i != left) {
        controls.push_back(i);
      }
    }
    fleet.SetControls(controls);
    SleepMs(kPauseMs);
  }
  if (fleet.PutConfig(config(9)) != kOk) {
    record.Add("the configuration was not acknowledged");
    return review::kCannotRun;
  }
  if (hasTrouble) {
    record.Add(wiped + " loses its disk");
    fleet.Signal(wiped, SIGKILL);
    fleet.WipeDisk(wiped);
    SleepMs(kDownMs);
    fleet.StartProcess(wiped);
    record.Add(wiped + " is back, with an empty disk");
  }
  const auto version = ReadVersion(fleet, record, controls);
  record.Add("the configuration that is read back: " +
             (version == 0 ? "none" : std::to_string(version)));
  const bool held = version == 9;
  if (!held) {
    record.Add("LOST: configuration 9 was acknowledged and is gone " +
               std::to_string(kReadMs) + " ms after all machines are back");
    fleet.CallEntry(1, "GET", kPath);
  }
  record.Add(held ? "the rule held" : "the rule was broken");
  return held ? review::kHeld : review::kBroken;
}
