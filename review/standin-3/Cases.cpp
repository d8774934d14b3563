// Plays one case of the review: Cases NAME FOLDER, in the repository. Exits
// with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
#include "Fleet.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <unistd.h>

namespace review {
namespace {

constexpr int kBroken = 1;
constexpr int kHeld = 0;
constexpr int kNotRun = 2;

// Bounds of the site.
constexpr std::int64_t kContactMs = 3000;
constexpr std::int64_t kCancelMs = 3000;
constexpr std::int64_t kStopMs = 900;
constexpr std::int64_t kVisibleMs = 3000;
constexpr std::int64_t kRenameWatchMs = 30000;

/** A client that leaves does so after half of its objective of 1,000 ms. */
constexpr std::int64_t kGiveUpMs = 500;
constexpr std::int64_t kFreezeMs = 1200;

/** A task that lasts has to run again within 6 s of its last run and 3 s more,
 * as far as these and the 4 s before are calm, which they are kContactMs after
 * the disruption at the latest. */
constexpr std::int64_t kLongestGapMs = 14000;
constexpr std::int64_t kWatchMs = 30000;
/** How long a minion serves on after the acknowledgement that it drains. */
constexpr std::int64_t kServeOnMs = 2500;
/** How long a minion is down that crashes. */
constexpr std::int64_t kDownMs = 2000;

void
Sleep(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

using Json = nlohmann::json;

std::string
MakeJob(const std::string& aSpec, const Json& aStep)
{
  return Json({ { "spec", aSpec }, { "steps", Json::array({ aStep }) } })
    .dump();
}

/** Returns the newest start of the job that works on, if any. */
std::optional<Record::Start>
WorkingStart(Fleet& aFleet, const std::string& aJob)
{
  const auto starts = aFleet.Log().StartsOf(aJob);
  const auto it =
    std::find_if(starts.rbegin(), starts.rend(), [](const auto& aStart) {
      return aStart.mEndMs < 0;
    });
  return it == starts.rend() ? std::nullopt : std::make_optional(*it);
}

/** Waits for a start of the job that works on, at most aLimitMs. */
std::optional<Record::Start>
AwaitStart(Fleet& aFleet, const std::string& aJob, std::int64_t aLimitMs)
{
  const auto until = NowMs() + aLimitMs;
  while (NowMs() < until) {
    if (auto start = WorkingStart(aFleet, aJob)) {
      return start;
    }
    Sleep(10);
  }
  return std::nullopt;
}

int
Finish(Fleet& aFleet, bool aIsBroken, const std::string& aWhat)
{
  aFleet.Log().Add("case",
                   std::string(aIsBroken ? "BROKEN: " : "held: ") + aWhat);
  std::printf("%s: %s\n", aIsBroken ? "broken" : "held", aWhat.c_str());
  return aIsBroken ? kBroken : kHeld;
}

/** Lets the minion crash that works on the job. After kDownMs it comes back as
 * another one, unless it is gone for good. Returns when it crashed. */
std::int64_t
CrashMinionOf(Fleet& aFleet, const std::string& aJob, bool aForGood)
{
  const auto start = WorkingStart(aFleet, aJob);
  const auto now = NowMs();
  for (int i = 0; start && i < aFleet.CountMinions(); ++i) {
    Minion& minion = aFleet.MinionAt(i);
    if (minion.Name() == start->mMinion) {
      minion.Crash();
      if (!aForGood) {
        Sleep(kDownMs);
        minion.Begin();
      }
    }
  }
  return now;
}

/** A job whose route gets another name, with the same host, prefix and service,
 * while its first step works. */
int
PlayRenamedRoute(Fleet& aFleet)
{
  const std::string job = "5c0e7a21d94b36f8";
  const std::string path = "/leak/" + job;
  if (!aFleet.Start({ { "r-ce7ejsm", "/leak/", 1, 4 } })) {
    return kNotRun;
  }
  const auto step = [](const Json& aDependsOn) {
    return Json({ { "count", 2 },
                  { "cpu", 26000 },
                  { "mem_mb", 53000 },
                  { "gpu", 4 },
                  { "estimate_ms", 4000 },
                  { "depends_on", aDependsOn } });
  };
  const auto body =
    Json({ { "spec", "ms=4000" },
           { "steps", { step(Json::array()), step(Json::array({ 0 })) } } })
      .dump();
  if (aFleet.Send(0, "POST", path, body).mStatus != 200) {
    return kNotRun;
  }
  const auto accepted = NowMs();
  Sleep(2000);
  if (HasTrouble() &&
      !aFleet.Configure(8, { { "r-zzyyjsg", "/leak/", 1, 4 } })) {
    return kNotRun;
  }
  bool isUnknown = false;
  std::string state;
  while (NowMs() < accepted + kRenameWatchMs && state != "complete") {
    Sleep(1000);
    const auto status = aFleet.Send(1, "GET", path).mStatus;
    isUnknown = isUnknown ||
                (status == 410 && NowMs() > accepted + kVisibleMs + kContactMs);
    state = status == 200 ? aFleet.StateOf(2, path) : std::string();
  }
  const auto starts = aFleet.Log().StartsOf(job);
  return Finish(
    aFleet,
    isUnknown,
    "the job is " + (state.empty() ? "unknown" : "shown as " + state) +
      ", with " + std::to_string(starts.size()) + " starts of its 4 tasks");
}

/** A client that got no answer cancels its job; the entry that stood still
 * hands the job in afterwards. */
int
PlayLateSubmission(Fleet& aFleet)
{
  const std::string job = "00000bb87a21d94b";
  const std::string path = "/leak/" + job;
  if (!aFleet.Start({ { "r-leak", "/leak/", 1, 4 } })) {
    return kNotRun;
  }
  const auto body = MakeJob("ms=15000",
                            { { "count", 1 },
                              { "cpu", 26000 },
                              { "mem_mb", 53000 },
                              { "gpu", 4 },
                              { "estimate_ms", 15000 } });
  if (HasTrouble()) {
    aFleet.Signal("entry0", SIGSTOP);
  }
  const auto frozen = NowMs();
  aFleet.Send(0, "POST", path, body, kGiveUpMs);
  const auto answer = aFleet.Send(1, "DELETE", path);
  const auto cancelled = NowMs();
  if (answer.mStatus != 410 && answer.mStatus != 200) {
    return kNotRun;
  }
  Sleep(std::max<std::int64_t>(0, frozen + kFreezeMs - NowMs()));
  if (HasTrouble()) {
    aFleet.Signal("entry0", SIGCONT);
  }
  const auto calm =
    std::max(cancelled + kCancelMs + kStopMs, NowMs() + kContactMs);
  Sleep(calm + 1000 - NowMs());
  const auto start = WorkingStart(aFleet, job);
  aFleet.StateOf(1, path);
  return Finish(aFleet,
                start.has_value(),
                start ? start->mTask + " works " +
                          std::to_string(NowMs() - cancelled) +
                          " ms after the cancelling was acknowledged with " +
                          std::to_string(answer.mStatus)
                      : "no task of the cancelled job works");
}

/** Waits until a task of the job works, and judges by the time without. */
int
JudgeGap(Fleet& aFleet,
         const std::string& aJob,
         const std::string& aPath,
         std::int64_t aLostMs)
{
  while (NowMs() < aLostMs + kWatchMs && !WorkingStart(aFleet, aJob)) {
    Sleep(20);
  }
  const auto gap = NowMs() - aLostMs;
  aFleet.StateOf(0, aPath);
  return Finish(aFleet,
                gap > kLongestGapMs,
                "the task that lasts had no run for " + std::to_string(gap) +
                  " ms after it had lost its minion");
}

/** Hands in a job of aCount small tasks that last, at most aMost on a minion,
 * and waits until all of them work. */
bool
FillWithLastingTasks(Fleet& aFleet, int aCount, int aMost)
{
  const auto body = MakeJob("lasts",
                            { { "count", aCount },
                              { "cpu", 6000 },
                              { "mem_mb", 12000 },
                              { "gpu", 1 },
                              { "estimate_ms", 60000 },
                              { "max_per_server", aMost },
                              { "long_running", true } });
  const std::string job = "141e800000000001";
  if (aFleet.Send(1, "POST", "/serve/" + job, body).mStatus != 200) {
    return false;
  }
  const auto until = NowMs() + 10000;
  while (aFleet.Log().StartsOf(job).size() < static_cast<std::size_t>(aCount)) {
    if (NowMs() > until) {
      return false;
    }
    Sleep(20);
  }
  return true;
}

/** A task that lasts and loses two minions. */
int
PlayTwoCrashes(Fleet& aFleet)
{
  const std::string job = "7f3a91c200000001";
  if (!aFleet.Start({ { "r-serve", "/serve/", 1, 4 } }) ||
      !FillWithLastingTasks(aFleet, 6 * aFleet.CountMinions(), 6)) {
    return kNotRun;
  }
  const auto body = MakeJob("lasts",
                            { { "count", 1 },
                              { "cpu", 6000 },
                              { "mem_mb", 12000 },
                              { "gpu", 1 },
                              { "estimate_ms", 60000 },
                              { "long_running", true } });
  if (aFleet.Send(0, "POST", "/serve/" + job, body).mStatus != 200) {
    return kNotRun;
  }
  std::int64_t lost = NowMs();
  for (int crash = 0; crash < 2; ++crash) {
    if (!AwaitStart(aFleet, job, 15000)) {
      return kNotRun;
    }
    Sleep(8000);
    lost = HasTrouble() ? CrashMinionOf(aFleet, job, false) : NowMs();
  }
  return JudgeGap(aFleet, job, "/serve/" + job, lost);
}

/** A task that lasts, whose data is on a rack that is full once one of its
 * minions is lost, while two minions of other racks are empty. */
int
PlayDataRack(Fleet& aFleet)
{
  if (!aFleet.Start({ { "r-serve", "/serve/", 1, 4 } })) {
    return kNotRun;
  }
  const auto body = MakeJob("lasts",
                            { { "count", 1 },
                              { "cpu", 26000 },
                              { "mem_mb", 53000 },
                              { "gpu", 8 },
                              { "estimate_ms", 60000 },
                              { "data_rack", "r0" },
                              { "long_running", true } });
  const std::string job = "7f3a91c200000001";
  for (const auto& each : { job,
                            std::string("7f3a91c200000002"),
                            std::string("7f3a91c200000003") }) {
    if (aFleet.Send(0, "POST", "/serve/" + each, body).mStatus != 200 ||
        !AwaitStart(aFleet, each, 5000)) {
      return kNotRun;
    }
  }
  if (!FillWithLastingTasks(aFleet, 8 * 6, 8)) {
    return kNotRun;
  }
  Sleep(5000);
  const auto lost = HasTrouble() ? CrashMinionOf(aFleet, job, true) : NowMs();
  return JudgeGap(aFleet, job, "/serve/" + job, lost);
}

/** A task that lasts and needs a whole minion, in a service that is full of
 * other work of the same priority when its minion leaves. */
int
PlayFullService(Fleet& aFleet)
{
  const std::string job = "7f3a91c200000001";
  if (!aFleet.Start(
        { { "r-serve", "/serve/", 1, 4 }, { "r-scan", "/scan/", 1, 3 } })) {
    return kNotRun;
  }
  const auto lasting = MakeJob("lasts",
                               { { "count", 1 },
                                 { "cpu", 26000 },
                                 { "mem_mb", 53000 },
                                 { "gpu", 8 },
                                 { "estimate_ms", 60000 },
                                 { "long_running", true } });
  if (aFleet.Send(0, "POST", "/serve/" + job, lasting).mStatus != 200) {
    return kNotRun;
  }
  const auto first = AwaitStart(aFleet, job, 5000);
  if (!first) {
    return kNotRun;
  }
  const auto scan = MakeJob("ms=7600 uneven",
                            { { "count", 20 },
                              { "cpu", 5600 },
                              { "mem_mb", 11000 },
                              { "gpu", 1 },
                              { "estimate_ms", 7600 } });
  constexpr int kScans = 20;
  for (int i = 0; i < kScans; ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0x1000 + i);
    aFleet.Send(i % 3, "POST", std::string("/scan/") + id, scan);
    Sleep(100);
  }
  Sleep(1500);
  for (int i = 0; HasTrouble() && i < aFleet.CountMinions(); ++i) {
    if (aFleet.MinionAt(i).Name() == first->mMinion) {
      aFleet.MinionAt(i).Leave(kServeOnMs);
    }
  }
  return JudgeGap(aFleet, job, "/serve/" + job, NowMs());
}

int
Play(const std::string& aCase, Fleet& aFleet)
{
  if (aCase == "renamed-route") {
    return PlayRenamedRoute(aFleet);
  }
  if (aCase == "late-submission") {
    return PlayLateSubmission(aFleet);
  }
  if (aCase == "full-service") {
    return PlayFullService(aFleet);
  }
  if (aCase == "two-crashes") {
    return PlayTwoCrashes(aFleet);
  }
  if (aCase == "data-rack") {
    return PlayDataRack(aFleet);
  }
  return kNotRun;
}

} // namespace
} // namespace review

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::fprintf(stderr, "usage: Cases NAME FOLDER\n");
    return review::kNotRun;
  }
  std::signal(SIGALRM, [](int) { _exit(2); });
  alarm(115); // ends this process, and by that all that it started
  review::Fleet fleet(review::FleetOptions(),
                      std::filesystem::current_path().string(),
                      aArguments[2]);
  return review::Play(aArguments[1], fleet);
}
