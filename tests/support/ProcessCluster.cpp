#include "tests/support/ProcessCluster.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <spawn.h>
#include <sstream>
#include <sys/file.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace dogwooddrum::support {

namespace {

constexpr const char* kOperatorKey = "operator-key-for-tests-0123456789";
constexpr const char* kDaemon =
  DOGWOODDRUM_BUILD_FOLDER "/dogwooddrum/daemon/dogwooddrumd";
constexpr const char* kTarget =
  DOGWOODDRUM_BUILD_FOLDER "/apps/dogwooddrum-standin-target";

void
WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream(aPath, std::ios::trunc) << aText;
  ::chmod(aPath.c_str(), S_IRUSR | S_IWUSR);
}

/** Starts a program with its output in aLog. */
pid_t
Spawn(const std::vector<std::string>& aCommand, const std::string& aLog)
{
  std::vector<char*> arguments;
  for (const auto& argument : aCommand) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = -1;
  const int rc = posix_spawn(
    &pid, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  return rc == 0 ? pid : -1;
}

} // namespace

ProcessCluster::ProcessCluster(ProcessClusterOptions aOptions)
  : mOptions(std::move(aOptions))
{
  std::string name =
    (std::filesystem::temp_directory_path() / "dogwooddrum-XXXXXX").string();
  mFolder = ::mkdtemp(name.data());
  WriteFile(mFolder + "/link.key", "link-key-for-tests-0123456789\n");
  WriteFile(mFolder + "/operator.key", kOperatorKey);
}

ProcessCluster::~ProcessCluster()
{
  while (!mPids.empty()) {
    Kill(mPids.begin()->first);
  }
  std::error_code ec;
  std::filesystem::remove_all(mFolder, ec);
}

void
ProcessCluster::WriteDaemonSettings(const std::string& aName,
                                    const std::string& aRole,
                                    std::uint16_t aLinkPort,
                                    const std::string& aSection) const
{
  std::ostringstream out;
  out << "[common]\nrole = " << aRole << "\nname = " << aName
      << "\nregion = test\nzone = zone-1\nhttp_port = " << mPorts.at(aName)
      << "\nlink_port = " << aLinkPort << "\nkey_file = " << mFolder
      << "/link.key\noperator_key_file = " << mFolder
      << "/operator.key\ndrain_delay_ms = " << mOptions.mDrainDelayMs << "\n["
      << aRole << "]\n"
      << aSection;
  WriteFile(mFolder + "/" + aName + ".ini", out.str());
}

void
ProcessCluster::WriteControlSettings(int aMember, std::uint64_t aId)
{
  std::ostringstream out;
  out << "member_id = " << aId << "\npeers = ";
  for (int i = 1; i <= mOptions.mControls; ++i) {
    const auto id = i == aMember ? aId : static_cast<std::uint64_t>(i);
    out << (i == 1 ? "" : ", ") << id << "=127.0.0.1:" << mLinkPorts.at(i);
  }
  out << "\ndata_folder = " << mFolder << "/data-" << aMember << "\n";
  WriteDaemonSettings("control-" + std::to_string(aMember),
                      "control",
                      mLinkPorts.at(aMember),
                      out.str());
}

void
ProcessCluster::InitializeMember(int aMember)
{
  const std::string name = mFolder + "/control-" + std::to_string(aMember);
  const pid_t pid =
    Spawn({ kDaemon, "--settings", name + ".ini", "--found" }, name + ".log");
  ::waitpid(pid, nullptr, 0);
}

std::string
ProcessCluster::ControlAddresses() const
{
  std::string addresses;
  for (const auto& [i, port] : mLinkPorts) {
    addresses +=
      (addresses.empty() ? "" : ", ") +
      (mOptions.mControlAddress ? mOptions.mControlAddress(i, port)
                                : "127.0.0.1:" + std::to_string(port));
  }
  return addresses;
}

void
ProcessCluster::StartTarget(const std::string& aName)
{
  std::vector<std::string> command = {
    kTarget, "--listen", "127.0.0.1:" + std::to_string(mPorts.at(aName))
  };
  command.insert(command.end(),
                 mOptions.mTargetArguments.begin(),
                 mOptions.mTargetArguments.end());
  mPids[aName] = Spawn(command, mFolder + "/" + aName + ".log");
}

void
ProcessCluster::StartAll()
{
  for (int i = 1; i <= mOptions.mControls; ++i) {
    mLinkPorts[i] = FreePort();
    mPorts["control-" + std::to_string(i)] = FreePort();
  }
  for (int i = 1; i <= mOptions.mControls; ++i) {
    WriteControlSettings(i, static_cast<std::uint64_t>(i));
    InitializeMember(i);
    Start("control-" + std::to_string(i));
  }
  for (int i = 1; i <= mOptions.mAgents; ++i) {
    const auto number = std::to_string(i);
    mPorts["target-" + number] = FreePort();
    mPorts["agent-" + number] = FreePort();
    WriteDaemonSettings("agent-" + number,
                        "agent",
                        0,
                        "worker = worker-" + number +
                          "\nrack = rack-1\naccelerators = 8\ntarget_address = "
                          "127.0.0.1:" +
                          std::to_string(mPorts["target-" + number]) +
                          "\ncontrol_addresses = " + ControlAddresses() + "\n");
    Start("target-" + number);
    Start("agent-" + number);
  }
  for (int i = 1; i <= mOptions.mEntries; ++i) {
    const auto name = "entry-" + std::to_string(i);
    mPorts[name] = FreePort();
    WriteDaemonSettings(name,
                        "entry",
                        0,
                        "request_timeout_ms = 20000\ncontrol_addresses = " +
                          ControlAddresses() + "\n");
    Start(name);
  }
}

bool
ProcessCluster::WaitReady()
{
  std::string unready;
  const bool ready = Eventually([&] {
    for (const auto& [name, pid] : mPids) {
      if (name.rfind("target", 0) == 0) {
        continue;
      }
      const auto result = Call(name, "GET", "/readyz", "", 1000);
      if (!result || result->mStatus != 200) {
        unready = name;
        return false;
      }
    }
    return true;
  });
  if (!ready) {
    std::cerr << unready << " is not ready:\n" << ReadLog(unready);
    return false;
  }
  const auto change = [this](const char* aId, int aVersion, const char* aEdit) {
    const auto result =
      Call("entry-1",
           "POST",
           "/v1/configuration",
           std::string(R"({"change_id":")") + aId + R"(","base_version":)" +
             std::to_string(aVersion) + R"(,"change":)" + aEdit + "}");
    return result && result->mStatus == 200;
  };
  return change("first", 0, R"({"profile":{"name":"std"}})") &&
         change("second",
                1,
                R"({"account":{"name":"yard","requests_per_second":100000,)"
                R"("concurrent_requests":10000,"guarantees":)"
                R"([{"count":1,"accelerators":8,"level":"worker"}]}})") &&
         Eventually([this] {
           for (int i = 1; i <= mOptions.mEntries; ++i) {
             const auto metrics =
               Call("entry-" + std::to_string(i), "GET", "/metrics");
             if (!metrics ||
                 metrics->mBody.find("dogwooddrum_configuration_version 2") ==
                   std::string::npos) {
               return false;
             }
           }
           return true;
         });
}

void
ProcessCluster::Start(const std::string& aName)
{
  if (aName.rfind("target", 0) == 0) {
    StartTarget(aName);
    return;
  }
  mPids[aName] =
    Spawn({ kDaemon, "--settings", mFolder + "/" + aName + ".ini" },
          mFolder + "/" + aName + ".log");
}

void
ProcessCluster::Signal(const std::string& aName, int aSignal) const
{
  ::kill(mPids.at(aName), aSignal);
}

void
ProcessCluster::LimitFileSize(const std::string& aName,
                              std::optional<std::uint64_t> aBytes) const
{
  rlimit limit = {};
  ::prlimit(mPids.at(aName), RLIMIT_FSIZE, nullptr, &limit);
  limit.rlim_cur = aBytes.value_or(limit.rlim_max);
  ::prlimit(mPids.at(aName), RLIMIT_FSIZE, &limit, nullptr);
}

void
ProcessCluster::Kill(const std::string& aName)
{
  const auto it = mPids.find(aName);
  if (it == mPids.end()) {
    return;
  }
  if (it->second > 0) {
    ::kill(it->second, SIGKILL);
    ::waitpid(it->second, nullptr, 0);
  }
  mPids.erase(it);
}

int
ProcessCluster::WaitExit(const std::string& aName,
                         std::chrono::milliseconds aLimit)
{
  int status = 0;
  const pid_t pid = mPids.at(aName);
  const bool ended =
    Eventually([&] { return ::waitpid(pid, &status, WNOHANG) == pid; }, aLimit);
  if (!ended) {
    return -1;
  }
  mPids.erase(aName);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

transport::HttpOutcome
ProcessCluster::Call(const std::string& aName,
                     const std::string& aMethod,
                     const std::string& aTarget,
                     const std::string& aBody,
                     int aTimeoutMs) const
{
  transport::HttpClient client({ "127.0.0.1", mPorts.at(aName) });
  transport::HttpRequest request;
  request.mMethod = aMethod;
  request.mTarget = aTarget;
  request.mBody = aBody;
  request.mHeaders["Authorization"] = std::string("Bearer ") + kOperatorKey;
  return client.Call(request, base::Milliseconds(aTimeoutMs));
}

transport::HttpOutcome
ProcessCluster::Submit(const std::string& aEntry,
                       const std::string& aKey,
                       int aWaitMs,
                       const std::string& aFields,
                       int aTimeoutMs) const
{
  return Call(aEntry,
              "POST",
              "/v1/jobs?wait_ms=" + std::to_string(aWaitMs),
              R"({"account":"yard","profile":"std","key":")" + aKey + "\"" +
                (aFields.empty() ? "" : "," + aFields) + "}",
              aTimeoutMs);
}

std::string
ProcessCluster::FindLeader() const
{
  for (const auto& [name, pid] : mPids) {
    if (name.rfind("control", 0) != 0) {
      continue;
    }
    const auto metrics = Call(name, "GET", "/metrics", "", 500);
    if (metrics &&
        metrics->mBody.find("\ndogwooddrum_is_leader 1") != std::string::npos) {
      return name;
    }
  }
  return "";
}

int
ProcessCluster::CountRuns(const std::string& aJob) const
{
  int count = 0;
  for (const auto& [name, port] : mPorts) {
    if (name.rfind("target", 0) != 0) {
      continue;
    }
    const auto result = Call(name, "GET", "/runs");
    if (!result) {
      continue;
    }
    const auto body = nlohmann::json::parse(result->mBody);
    for (const auto& run : body["runs"]) {
      count += run["job"] == aJob ? 1 : 0;
    }
  }
  return count;
}

std::string
ProcessCluster::ReadLog(const std::string& aName) const
{
  std::ifstream file(mFolder + "/" + aName + ".log");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

bool
Eventually(const std::function<bool()>& aCondition,
           std::chrono::milliseconds aLimit)
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

std::string
JsonField(const std::string& aJson, const std::string& aName)
{
  const auto body = nlohmann::json::parse(aJson, nullptr, false);
  if (!body.is_object() || !body.contains(aName)) {
    return "";
  }
  const auto& value = body[aName];
  return value.is_string() ? value.get<std::string>() : value.dump();
}

namespace {

/** Reserves the port among all test processes until this process ends. A daemon
 * binds its port some time after it was found to be free, and another test may
 * find the same port free in the meantime. */
bool
ReservePort(std::uint16_t aPort)
{
  const std::string file = std::filesystem::temp_directory_path().string() +
                           "/dogwooddrum-test-port-" + std::to_string(aPort);
  const int lock = ::open(file.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0666);
  if (lock < 0) {
    return false;
  }
  if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
    ::close(lock);
    return false;
  }
  return true;
}

} // namespace

std::uint16_t
FreePort()
{
  // Ports below the range for outgoing connections, so that none of these takes
  // the port of a daemon that restarts.
  static std::set<std::uint16_t> sTaken;
  static std::uint32_t sNext = static_cast<std::uint32_t>(::getpid());
  while (true) {
    sNext = sNext * 1103515245U + 12345U;
    const auto port = static_cast<std::uint16_t>(15000 + (sNext >> 8) % 15000);
    if (!sTaken.insert(port).second || !ReservePort(port)) {
      continue;
    }
    const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free =
      ::bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(probe);
    if (free) {
      return port;
    }
  }
}

} // namespace dogwooddrum::support
