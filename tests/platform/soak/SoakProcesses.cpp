#include "tests/platform/soak/SoakProcesses.h"

#include "dogwooddrum/daemon/Clock.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace dogwooddrum::tests {

namespace {

using std::chrono::milliseconds;

/** Age of the operator's list that the platform writes into settings. */
constexpr std::int64_t kSeedLagMs = 3000;
constexpr std::int64_t kSampleIntervalMs = 200;
/** Delay before a process that has exited is started again. */
constexpr std::int64_t kRestartDelayMs = 300;
/** The platform names at most this many control addresses. */
constexpr std::size_t kMaxSeeds = 3;
constexpr std::size_t kLoggedLines = 15;

int
IndexOf(const std::string& aName)
{
  return std::stoi(aName.substr(aName.find_first_of("0123456789")));
}

std::string
RoleOf(const std::string& aName)
{
  return aName.substr(0, aName.find_first_of("0123456789"));
}

std::string
ControlName(int aIndex)
{
  return "control" + std::to_string(aIndex);
}

} // namespace

std::int64_t
SoakNowMs()
{
  return base::ToMilliseconds(daemon::Now());
}

SoakProcesses::SoakProcesses(const SoakOptions& aOptions)
  : mOptions(aOptions)
  , mPort(static_cast<std::uint16_t>(20000 + (::getpid() * 37) % 20000))
  , mRandom(aOptions.mSeed)
{
  std::string name =
    (std::filesystem::temp_directory_path() / "dogwooddrum-soak-XXXXXX")
      .string();
  mFolder = ::mkdtemp(name.data());
  for (int i = 0; i < aOptions.mControls; ++i) {
    AddControl();
  }
  if (aOptions.mSeeds == SeedList::Operator) {
    mSampleThread = std::thread([this] { SampleOperators(); });
  }
}

SoakProcesses::~SoakProcesses()
{
  mStopped = true;
  if (mSampleThread.joinable()) {
    mSampleThread.join();
  }
  KillAll();
}

std::vector<std::string>
SoakProcesses::Names() const
{
  std::vector<std::string> names;
  for (const int i : Controls()) {
    names.push_back(ControlName(i));
  }
  for (int i = 0; i < kEntries; ++i) {
    names.push_back("entry" + std::to_string(i));
  }
  for (int i = 0; i < mOptions.mAgents; ++i) {
    names.push_back("agent" + std::to_string(i));
  }
  return names;
}

std::vector<int>
SoakProcesses::Controls() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mControls;
}

int
SoakProcesses::AddControl()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mControls.push_back(mControlsAdded);
  return mControlsAdded++;
}

void
SoakProcesses::RemoveControl(int aIndex)
{
  Kill(ControlName(aIndex));
  WipeDisk(aIndex);
  const std::lock_guard<std::mutex> lock(mMutex);
  mControls.erase(std::remove(mControls.begin(), mControls.end(), aIndex),
                  mControls.end());
}

void
SoakProcesses::WipeDisk(int aControl)
{
  std::filesystem::remove_all(mFolder + "/" + ControlName(aControl));
}

void
SoakProcesses::Start(const std::string& aName)
{
  WriteSettings(aName, SeedControls());
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
        &pid, pointers[0], &actions, nullptr, pointers.data(), environ) == 0) {
    mPids[aName] = pid;
  }
  posix_spawn_file_actions_destroy(&actions);
}

void
SoakProcesses::Kill(const std::string& aName)
{
  const auto it = mPids.find(aName);
  if (it != mPids.end()) {
    ::kill(it->second, SIGKILL);
    ::waitpid(it->second, nullptr, 0);
    mPids.erase(it);
  }
}

void
SoakProcesses::Terminate(const std::string& aName, std::int64_t aLimitMs)
{
  const auto it = mPids.find(aName);
  if (it == mPids.end()) {
    return;
  }
  const auto end = SoakNowMs() + aLimitMs;
  ::kill(it->second, SIGTERM);
  while (::waitpid(it->second, nullptr, WNOHANG) == 0) {
    if (SoakNowMs() >= end) {
      Kill(aName);
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  mPids.erase(it);
}

void
SoakProcesses::KillAll()
{
  for (const auto& [name, pid] : mPids) {
    ::kill(pid, SIGKILL);
  }
  for (const auto& [name, pid] : mPids) {
    ::waitpid(pid, nullptr, 0);
  }
  mPids.clear();
}

void
SoakProcesses::Signal(const std::string& aName, int aSignal) const
{
  const auto it = mPids.find(aName);
  if (it != mPids.end()) {
    ::kill(it->second, aSignal);
  }
}

bool
SoakProcesses::IsRunning(const std::string& aName) const
{
  return mPids.count(aName) > 0;
}

void
SoakProcesses::ReapExited()
{
  for (auto it = mPids.begin(); it != mPids.end();) {
    int status = 0;
    if (::waitpid(it->second, &status, WNOHANG) == 0) {
      ++it;
      continue;
    }
    mExits[it->first] += WIFEXITED(status)
                           ? " " + std::to_string(WEXITSTATUS(status))
                           : " signal " + std::to_string(WTERMSIG(status));
    mStartAfter[it->first] = SoakNowMs() + kRestartDelayMs;
    it = mPids.erase(it);
  }
}

bool
SoakProcesses::MayStart(const std::string& aName) const
{
  const auto it = mStartAfter.find(aName);
  return it == mStartAfter.end() || SoakNowMs() >= it->second;
}

void
SoakProcesses::UpdateSettings()
{
  const auto seeds = SeedControls();
  if (seeds == mWrittenSeeds) {
    return;
  }
  mWrittenSeeds = seeds;
  for (const auto& name : Names()) {
    WriteSettings(name, seeds);
  }
}

transport::HttpOutcome
SoakProcesses::Call(NodeKind aKind,
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

std::string
SoakProcesses::Ip(NodeKind aKind, int aIndex)
{
  return "127.0." + std::to_string(10 + static_cast<int>(aKind)) + "." +
         std::to_string(aIndex + 1);
}

std::string
SoakProcesses::AddressOf(NodeKind aKind, int aIndex, int aOffset) const
{
  return Ip(aKind, aIndex) + ":" + std::to_string(mPort + aOffset);
}

/** Returns the control members whose addresses the settings name now. */
std::vector<int>
SoakProcesses::SeedControls()
{
  if (mOverride) {
    return *mOverride;
  }
  if (mBootstrap || mOptions.mSeeds == SeedList::Initial) {
    return { 0, 1, 2 };
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<int> serving;
  for (const auto& sample : mSamples) {
    if (sample.mTimeMs <= SoakNowMs() - kSeedLagMs) {
      serving = sample.mServing;
    }
  }
  if (serving.size() > kMaxSeeds) {
    std::shuffle(serving.begin(), serving.end(), mRandom);
    serving.resize(kMaxSeeds);
    std::sort(serving.begin(), serving.end());
  }
  return serving;
}

void
SoakProcesses::WriteSettings(const std::string& aName,
                             const std::vector<int>& aSeeds) const
{
  const std::string role = RoleOf(aName);
  const int index = IndexOf(aName);
  std::string seeds;
  for (const int control : aSeeds) {
    seeds +=
      (seeds.empty() ? "" : ",") + AddressOf(NodeKind::Control, control, 1);
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
    out << "data_folder = " << mFolder << "/" << aName << "\nseeds = " << seeds
        << "\nbootstrap = " << (mBootstrap ? "true" : "false")
        << "\ntolerated_losses = " << mOptions.mControls / 2
        << "\noperator_address = " << AddressOf(kind, index, 1) << "\n";
  } else {
    out << "control_addresses = " << seeds << "\ncontrol_link_port = " << mPort
        << "\n"
        << (kind == NodeKind::Entry ? "frontend_address = "
                                    : "announce_address = ")
        << AddressOf(kind, index) << "\n";
  }
}

/** Records which members answer operators. */
void
SoakProcesses::SampleOperators()
{
  while (!mStopped) {
    Sample sample;
    sample.mTimeMs = SoakNowMs();
    for (const int control : Controls()) {
      if (Call(NodeKind::Control, control, 1, "GET", "/-/config", "")) {
        sample.mServing.push_back(control);
      }
    }
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mSamples.push_back(std::move(sample));
      while (mSamples.size() > 2 &&
             mSamples[1].mTimeMs < SoakNowMs() - kSeedLagMs) {
        mSamples.pop_front();
      }
    }
    std::this_thread::sleep_for(milliseconds(kSampleIntervalMs));
  }
}

void
SoakProcesses::PrintMemberLogs() const
{
  static constexpr std::array<const char*, 10> kEvents{
    "leader_", "leadership_", "membership_", "snapshot_", "log_recovered",
    "torn_",   "log_corrupt", "storage_",    "start",     "dogwooddrumd:"
  };
  for (const int control : Controls()) {
    const auto name = ControlName(control);
    const auto exits = mExits.find(name);
    std::printf("-- %s, %s, exits:%s\n",
                name.c_str(),
                IsRunning(name) ? "running" : "not running",
                exits == mExits.end() ? " none" : exits->second.c_str());
    std::ifstream in(mFolder + "/" + name + ".log");
    std::deque<std::string> lines;
    for (std::string line; std::getline(in, line);) {
      const bool isShown =
        std::any_of(kEvents.begin(), kEvents.end(), [&](const char* aEvent) {
          return line.find(aEvent) != std::string::npos;
        });
      if (isShown) {
        lines.push_back(line);
      }
      if (lines.size() > kLoggedLines) {
        lines.pop_front();
      }
    }
    for (const auto& line : lines) {
      std::printf("   %s\n", line.c_str());
    }
  }
}

} // namespace dogwooddrum::tests
