#include "tests/support/SeededGroup.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace dogwooddrum::support {

namespace {

constexpr const char* kDaemon =
  DOGWOODDRUM_BUILD_FOLDER "/dogwooddrum/daemon/dogwooddrumd";
constexpr std::size_t kSeedMembers = 3;
constexpr int kLinkPortOffset = 0;
constexpr int kOperatorPortOffset = 1;
constexpr int kHttpPortOffset = 2;
constexpr unsigned kOk = 200;

} // namespace

SeededGroup::SeededGroup()
  : mPort(20000 + (::getpid() * 41) % 12000)
{
  std::string name =
    (std::filesystem::temp_directory_path() / "dogwooddrum-group-XXXXXX")
      .string();
  mFolder = ::mkdtemp(name.data());
}

SeededGroup::~SeededGroup()
{
  while (!mPids.empty()) {
    Kill(mPids.begin()->first);
  }
  std::error_code ec;
  std::filesystem::remove_all(mFolder, ec);
}

bool
SeededGroup::Found(const Seeds& aNames, int aToleratedLosses)
{
  const Seeds seeds(aNames.begin(), aNames.begin() + kSeedMembers);
  for (const auto& name : aNames) {
    WriteControl(name, seeds, true, aToleratedLosses);
    Start(name);
  }
  return AreAllReady();
}

void
SeededGroup::WriteControl(const std::string& aName,
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

void
SeededGroup::WriteEntry(const std::string& aName, const Seeds& aSeeds)
{
  WriteSettings(
    aName,
    "entry",
    "control_addresses = " + Join(aSeeds) +
      "\ncontrol_link_port = " + std::to_string(mPort + kLinkPortOffset) +
      "\nfrontend_address = " + Ip(aName) + ":" + std::to_string(mPort) + "\n");
}

void
SeededGroup::WriteJobEntry(const std::string& aName, const Seeds& aSeeds)
{
  std::string addresses;
  for (const auto& name : aSeeds) {
    addresses += (addresses.empty() ? "" : ",") + Ip(name) + ":" +
                 std::to_string(mPort + kLinkPortOffset);
  }
  WriteSettings(aName, "entry", "control_addresses = " + addresses + "\n");
}

void
SeededGroup::Start(const std::string& aName)
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
  const int rc =
    ::posix_spawn(&pid, kDaemon, &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (rc != 0) {
    throw std::runtime_error(std::string(kDaemon) + " cannot be started");
  }
  mPids[aName] = pid;
}

void
SeededGroup::Kill(const std::string& aName)
{
  ::kill(mPids.at(aName), SIGKILL);
  ::waitpid(mPids.at(aName), nullptr, 0);
  mPids.erase(aName);
}

std::chrono::milliseconds
SeededGroup::Terminate(const std::string& aName,
                       std::chrono::milliseconds aLimit)
{
  using Clock = std::chrono::steady_clock;
  const auto begin = Clock::now();
  const pid_t pid = mPids.at(aName);
  ::kill(pid, SIGTERM);
  while (::waitpid(pid, nullptr, WNOHANG) == 0) {
    if (Clock::now() - begin > aLimit) {
      Kill(aName);
      return std::chrono::milliseconds::max();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  mPids.erase(aName);
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               begin);
}

void
SeededGroup::WipeDisk(const std::string& aName) const
{
  std::filesystem::remove_all(mFolder + "/data-" + aName);
}

void
SeededGroup::FillDisk(const std::string& aName) const
{
  rlimit limit = {};
  ::prlimit(mPids.at(aName), RLIMIT_FSIZE, nullptr, &limit);
  limit.rlim_cur = 0;
  ::prlimit(mPids.at(aName), RLIMIT_FSIZE, &limit, nullptr);
}

bool
SeededGroup::IsReady(const std::string& aName) const
{
  const auto outcome = Call(aName, kHttpPortOffset, "GET", "/readyz", "");
  return outcome && outcome->mStatus == kOk;
}

bool
SeededGroup::AreAllReady() const
{
  return Eventually(
    [this] {
      return std::all_of(mPids.begin(), mPids.end(), [this](const auto& aIt) {
        return IsReady(aIt.first);
      });
    },
    kRecoveryLimit);
}

std::string
SeededGroup::FindLeader() const
{
  for (const auto& [name, pid] : mPids) {
    const auto outcome = Call(name, kHttpPortOffset, "GET", "/metrics", "");
    if (outcome &&
        outcome->mBody.find("dogwooddrum_is_leader 1") != std::string::npos) {
      return name;
    }
  }
  return {};
}

bool
SeededGroup::PutConfiguration(const std::string& aName, int aVersion) const
{
  const auto outcome =
    Call(aName,
         kOperatorPortOffset,
         "PUT",
         "/-/config",
         R"({"version":)" + std::to_string(aVersion) +
           R"(,"routes":[{"name":"r","host":"h","path_prefix":"/p/",)"
           R"("service":"s","timeout_ms":3000}],"services":[{"name":"s"}],)"
           R"("tenants":[{"name":"t","api_keys":["k"]}]})");
  return outcome && outcome->mStatus == kOk;
}

int
SeededGroup::ReadConfiguration(const std::string& aName) const
{
  const auto outcome = Call(aName, kOperatorPortOffset, "GET", "/-/config", "");
  if (!outcome || outcome->mStatus != kOk) {
    return 0;
  }
  return nlohmann::json::parse(outcome->mBody)["version"];
}

std::vector<std::string>
SeededGroup::LogLines(const std::string& aName, const std::string& aText) const
{
  std::vector<std::string> lines;
  std::ifstream in(mFolder + "/" + aName + ".log");
  for (std::string line; std::getline(in, line);) {
    if (line.find(aText) != std::string::npos) {
      lines.push_back(line);
    }
  }
  return lines;
}

std::string
SeededGroup::Ip(const std::string& aName)
{
  const bool isEntry = aName.rfind("entry", 0) == 0;
  return std::string("127.0.") + (isEntry ? "51." : "50.") + aName.back();
}

std::string
SeededGroup::Join(const Seeds& aNames) const
{
  std::string text;
  for (const auto& name : aNames) {
    text += (text.empty() ? "" : ",") + Ip(name) + ":" +
            std::to_string(mPort + kOperatorPortOffset);
  }
  return text;
}

void
SeededGroup::WriteSettings(const std::string& aName,
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
    << "\nkey = 0123456789abcdef\ndrain_delay_ms = 0\n[" << aRole << "]\n"
    << aSection;
  std::filesystem::rename(path + ".new", path);
}

transport::HttpOutcome
SeededGroup::Call(const std::string& aName,
                  int aPortOffset,
                  const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aBody) const
{
  transport::HttpClientOptions options;
  options.mIp = Ip(aName);
  options.mPort = static_cast<std::uint16_t>(mPort + aPortOffset);
  transport::HttpClient client(options);
  transport::HttpRequest request;
  request.mMethod = aMethod;
  request.mTarget = aPath;
  request.mBody = aBody;
  return client.Call(request, base::Milliseconds(1000));
}

} // namespace dogwooddrum::support
