#include "Fleet.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char* kDaemon = "target/dogwooddrum/daemon/dogwooddrumd";
constexpr const char* kService = "dele69a";
constexpr const char* kHost = "nony24.example";
constexpr const char* kKey = "d4a3hwrr6x73d3zji9n7";
constexpr std::array<const char*, 3> kZones{ "tema-north",
                                             "tema-south",
                                             "ashaiman" };
// Offsets of ports, the same on all addresses.
constexpr int kLinkPort = 0;
constexpr int kHttpPort = 1;
constexpr int kControlPlanePort = 2;
constexpr int kFrontendPort = 3;
constexpr int kReadinessPort = 4;
constexpr int kAppPort = 5;
constexpr int kPorts = 6;

constexpr std::int64_t kStartLimitMs = 30000;

std::string
Replace(std::string aText, const std::map<std::string, std::string>& aValues)
{
  for (const auto& [name, value] : aValues) {
    const std::string placeholder = "{{" + name + "}}";
    for (auto at = aText.find(placeholder); at != std::string::npos;
         at = aText.find(placeholder, at + value.size())) {
      aText.replace(at, placeholder.size(), value);
    }
  }
  return aText;
}

/** Returns whether all ports from aBase on are free on an address of ours. */
bool
ArePortsFree(const std::string& aIp, int aBase)
{
  for (int port = aBase; port < aBase + kPorts; ++port) {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool isFree =
      bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) ==
      0;
    close(fd);
    if (!isFree) {
      return false;
    }
  }
  return true;
}

void
Sleep(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

} // namespace

Fleet::Fleet(const FleetOptions& aOptions,
             std::string aRoot,
             const std::string& aFolder)
  : mOptions(aOptions)
  , mRoot(std::move(aRoot))
  , mRecord(aFolder + "/record.txt")
{
  std::string name =
    (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
  mTemporary = mkdtemp(name.data());
  mNet = 20 + static_cast<int>(getpid() % 200);
  mBasePort = 21000 + static_cast<int>(getpid() % 1000) * 10;
  while (!ArePortsFree(Ip("control", 0), mBasePort) && mBasePort < 32000) {
    mBasePort += 10;
  }
}

Fleet::~Fleet()
{
  for (const auto& [name, pid] : mProcesses) {
    kill(pid, SIGKILL);
  }
  for (const auto& [name, pid] : mProcesses) {
    waitpid(pid, nullptr, 0);
  }
  mMinions.clear();
  if (std::getenv("REVIEW_KEEP") == nullptr) {
    std::filesystem::remove_all(mTemporary);
  } else {
    std::fprintf(stderr, "logs: %s\n", mTemporary.c_str());
  }
}

std::uint16_t
Fleet::Port(int aOffset) const
{
  return static_cast<std::uint16_t>(mBasePort + aOffset);
}

std::string
Fleet::Ip(const std::string& aRole, int aIndex) const
{
  const int role = aRole == "control" ? 1 : aRole == "entry" ? 2 : 3;
  return "127." + std::to_string(mNet) + "." + std::to_string(role) + "." +
         std::to_string(aIndex + 1);
}

std::string
Fleet::Render(const std::string& aRole, int aIndex) const
{
  std::ifstream in(mRoot + "/deploy/" + aRole + ".ini");
  std::stringstream text;
  text << in.rdbuf();
  std::string seeds;
  for (int i = 0; i < std::min(mOptions.mControls, 3); ++i) {
    seeds += (i == 0 ? "" : ",") + Ip("control", i) + ":" +
             std::to_string(Port(kControlPlanePort));
  }
  const std::string ip = Ip(aRole, aIndex);
  const auto address = [&ip, this](int aOffset) {
    return ip + ":" + std::to_string(Port(aOffset));
  };
  const std::string name = aRole + std::to_string(aIndex);
  return Replace(
    text.str(),
    { { "node_name", name },
      { "region", "greater-accra" },
      { "zone", kZones[static_cast<std::size_t>(aIndex) % kZones.size()] },
      { "ip", ip },
      { "internal_port_range.0", std::to_string(Port(kLinkPort)) },
      { "internal_port_range.1", std::to_string(Port(kHttpPort)) },
      { "seeds", seeds },
      { "data_dir", mTemporary + "/" + name },
      { "bootstrap", "true" },
      { "fault_tolerance.machines", "1" },
      { "bind_addrs.control_plane", address(kControlPlanePort) },
      { "bind_addrs.frontend", address(kFrontendPort) },
      { "bind_addrs.readiness", address(kReadinessPort) },
      { "bounds.hold_max_ms", "6000" },
      { "bounds.stop_ms", "900" },
      { "bounds.restore_ms", "600" } });
}

void
Fleet::Spawn(const std::string& aRole, int aIndex)
{
  const std::string name = aRole + std::to_string(aIndex);
  const std::string settings = mTemporary + "/" + name + ".ini";
  std::ofstream(settings) << Render(aRole, aIndex);
  std::vector<std::string> words = { kDaemon, "--settings", settings };
  if (aRole == "control") {
    words.insert(words.end(),
                 { "--set",
                   "control.evacuation_time_ms=",
                   "--set",
                   "control.zones=tema-north,tema-south,ashaiman" });
  }
  std::vector<char*> arguments;
  for (auto& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const std::string log = mTemporary + "/" + name + ".log";
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    if (getppid() == parent && chdir(mRoot.c_str()) == 0) {
      execv(kDaemon, arguments.data());
    }
    _exit(127);
  }
  mProcesses[name] = pid;
}

bool
Fleet::Start(const std::vector<Route>& aRoutes)
{
  for (int i = 0; i < mOptions.mControls; ++i) {
    Spawn("control", i);
  }
  for (int i = 0; i < mOptions.mEntries; ++i) {
    Spawn("entry", i);
  }
  for (int i = 0; i < mOptions.mAgents; ++i) {
    Spawn("agent", i);
    MinionOptions options;
    options.mName = "minion" + std::to_string(i);
    options.mIp = Ip("agent", i);
    options.mAppPort = Port(kAppPort);
    options.mControlPlanePort = Port(kControlPlanePort);
    options.mService = kService;
    options.mZone = kZones[static_cast<std::size_t>(i) % kZones.size()];
    options.mRack = "r" + std::to_string(i / 3);
    mMinions.push_back(std::make_unique<Minion>(options, mRecord));
  }
  for (const auto& minion : mMinions) {
    minion->Begin();
  }
  if (!Configure(7, aRoutes)) {
    return false;
  }
  for (int i = 0; i < mOptions.mEntries; ++i) {
    Request probe;
    probe.mPath = "/-/ready";
    while (Call(Ip("entry", i), Port(kReadinessPort), probe, 1000).mStatus !=
           200) {
      if (mRecord.NowMs() > kStartLimitMs) {
        return false;
      }
      Sleep(100);
    }
  }
  Sleep(3000); // all minions are known by then
  return true;
}

bool
Fleet::Configure(std::uint64_t aVersion, const std::vector<Route>& aRoutes)
{
  using Json = nlohmann::json;
  Json routes = Json::array();
  for (const Route& route : aRoutes) {
    routes.push_back({ { "name", route.mName },
                       { "host", kHost },
                       { "path_prefix", route.mPrefix },
                       { "kind", "non_idempotent" },
                       { "timeout_ms", 3000 },
                       { "target_runtime_ms", 1000 },
                       { "priority", route.mPriority },
                       { "service", kService },
                       { "max_attempts", route.mMaxAttempts },
                       { "slack_factor", 3.0 },
                       { "public", false } });
  }
  Request request;
  request.mMethod = "PUT";
  request.mPath = "/-/config";
  request.mBody =
    Json(
      { { "version", aVersion },
        { "routes", routes },
        { "services",
          { { { "name", kService },
              { "health_path", "/health" },
              { "max_conns", 64 },
              { "protocol", "h1" },
              { "tls", false },
              { "admission_check", false },
              { "standby", false } } } },
        { "limits",
          { { "max_header_bytes", 16384 },
            { "max_body_bytes", 262144 },
            { "header_timeout_ms", 3000 },
            { "idle_timeout_ms", 15000 } } },
        { "tenants",
          { { { "name", "kaje80" },
              { "api_keys", { kKey } },
              { "priority", 1 },
              { "guaranteed", { { "gpu", mOptions.mGuaranteedGpus } } } } } } })
      .dump();
  const auto until = NowMs() + kStartLimitMs;
  for (int i = 0; NowMs() < until; ++i) {
    const std::string ip = Ip("control", i % mOptions.mControls);
    if (Call(ip, Port(kControlPlanePort), request, 1000).mStatus == 200) {
      mRecord.Add("operator",
                  "configuration " + std::to_string(aVersion) +
                    " is acknowledged, with " + routes.dump());
      return true;
    }
    Sleep(100);
  }
  return false;
}

void
Fleet::Signal(const std::string& aName, int aSignal)
{
  mRecord.Add("case", std::string(strsignal(aSignal)) + " to " + aName);
  kill(mProcesses.at(aName), aSignal);
}

Response
Fleet::Send(int aEntry,
            const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody,
            std::int64_t aTimeoutMs)
{
  Request request;
  request.mMethod = aMethod;
  request.mPath = aPath;
  request.mBody = aBody;
  request.mHeaders["host"] = kHost;
  request.mHeaders["api-key"] = kKey;
  request.mHeaders["dogwooddrum-deadline-ms"] = std::to_string(aTimeoutMs);
  const std::string who = "client at entry" + std::to_string(aEntry);
  mRecord.Add(who, aMethod + " " + aPath + " " + aBody.substr(0, 300));
  auto response =
    Call(Ip("entry", aEntry), Port(kFrontendPort), request, aTimeoutMs);
  mRecord.Add(
    who,
    aMethod + " " + aPath + " -> " +
      (response.mStatus == 0 ? "no answer" : std::to_string(response.mStatus)) +
      " " + response.mBody.substr(0, 300));
  return response;
}

std::string
Fleet::StateOf(int aEntry, const std::string& aPath)
{
  const auto response = Send(aEntry, "GET", aPath);
  const auto json = nlohmann::json::parse(response.mBody, nullptr, false);
  return response.mStatus == 200 && json.is_object() ? json.value("state", "")
                                                     : std::string();
}

} // namespace review
