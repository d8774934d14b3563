#include "review/fleet/Fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char* kDaemon = "target/dogwooddrum/daemon/dogwooddrumd";
constexpr const char* kLinkKey = "dogwooddrum-links-0001";
constexpr int kServerError = 500;
constexpr int kOk = 200;

// Offsets to the first port of the fleet, the same on all machines.
constexpr int kLinkPort = 0;
constexpr int kHttpPort = 1;
constexpr int kServicePort = 2; ///< frontend, control_plane
constexpr int kProbePort = 3;
constexpr int kMinionPort = 4;

int
DrawNumber(int aLowest, int aHighest)
{
  std::random_device device;
  return std::uniform_int_distribution<int>(aLowest, aHighest)(device);
}

std::string
RoleOf(const std::string& aName)
{
  return aName.substr(0, aName.find('-'));
}

/** Returns the number at the end of the name. */
int
NumberOf(const std::string& aName)
{
  return std::atoi(aName.c_str() + aName.find('-') + 1);
}

/** Returns the name of a process. Precondition: aNumber is 1 or more. */

std::string
NameOf(const char* aRole, int aNumber)
{
  return std::string(aRole) + "-" + std::to_string(aNumber);
}

std::string
ZoneOf(const std::string& aName)
{
  return "zone-" + std::to_string((NumberOf(aName) - 1) % kZones + 1);
}

/** Starts the daemon. It is killed if this process ends. */
pid_t
Spawn(const std::vector<std::string>& aArguments, const std::string& aLog)
{
  std::vector<char*> arguments;
  for (const auto& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid != 0) {
    return pid;
  }
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) {
    ::_exit(1);
  }
  constexpr mode_t kOwnerOnly = 0600;
  const int fd =
    ::open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, kOwnerOnly);
  ::dup2(fd, STDOUT_FILENO);
  ::dup2(fd, STDERR_FILENO);
  ::execv(arguments[0], arguments.data());
  ::_exit(1);
}

} // namespace

Fleet::Fleet(FleetOptions aOptions, Record& aRecord)
  : mOptions(std::move(aOptions))
  , mRecord(aRecord)
  , mNetwork("127." + std::to_string(DrawNumber(20, 250)))
  , mPort(DrawNumber(2000, 2900) * 10)
{
}

Fleet::~Fleet()
{
  for (const auto& [name, pid] : mPids) {
    ::kill(pid, SIGKILL);
  }
  for (const auto& [name, pid] : mPids) {
    ::waitpid(pid, nullptr, 0);
  }
}

std::vector<std::string>
Fleet::AllNames() const
{
  std::vector<std::string> names;
  for (int i = 1; i <= kZones; ++i) {
    names.push_back(NameOf("control", i));
    names.push_back(NameOf("entry", i));
  }
  for (int i = 1; i <= mOptions.mAgents; ++i) {
    names.push_back(NameOf("agent", i));
  }
  return names;
}

Address
Fleet::AddressOf(const std::string& aName, int aPort) const
{
  const std::string role = RoleOf(aName);
  const int part = role == "control" ? 1 : role == "entry" ? 2 : 3;
  return { mNetwork + "." + std::to_string(part) + "." +
             std::to_string(NumberOf(aName)),
           static_cast<std::uint16_t>(mPort + aPort) };
}

/** Returns where the others link to the control member of a zone. */
Address
Fleet::LinkAddress(int aZone) const
{
  auto address = AddressOf(NameOf("control", aZone), kLinkPort);
  if (mOptions.mHasProxies) {
    address.mIp = mNetwork + ".11." + std::to_string(aZone);
  }
  return address;
}

/** Returns the settings that the templates in deploy/ give. With proxies, the
 * members are named by ids, as otherwise the address at which a member listens
 * would be the one that it names to the others. */
std::string
Fleet::MakeSettings(const std::string& aName) const
{
  const std::string role = RoleOf(aName);
  const bool isControl = role == "control";
  std::string seeds;
  std::string links;
  std::string peers;
  for (const int control : mControls) {
    const std::string comma = seeds.empty() ? "" : ",";
    seeds +=
      comma + ToString(AddressOf(NameOf("control", control), kServicePort));
    links += comma + ToString(LinkAddress(control));
    peers +=
      comma + std::to_string(control) + "=" + ToString(LinkAddress(control));
  }
  const auto address = AddressOf(aName, 0);
  const bool isEntry = role == "entry";
  std::string text =
    "[common]\nrole = " + role + "\nname = " + aName +
    "\nregion = region-1\nzone = " + ZoneOf(aName) +
    "\nbind_address = " + address.mIp +
    "\nhttp_port = " + std::to_string(mPort + kHttpPort) +
    "\nlink_port = " + std::to_string(isControl ? mPort + kLinkPort : 0) +
    "\nkey = " + kLinkKey + "\nlog_level = info\nnetwork_threads = 1\n" +
    "drain_delay_ms = " + (isEntry ? "2500" : "0") +
    "\nshutdown_limit_ms = " + (role == "agent" ? "1000" : "3000") + "\n[" +
    role + "]\n";
  const std::string service = ToString(AddressOf(aName, kServicePort));
  if (isControl) {
    text += "data_folder = " + mOptions.mFolder + "/data-" +
            std::to_string(NumberOf(aName)) +
            "\noperator_address = " + service +
            "\ntask_lease_ms = 6000\nstop_time_ms = 900\n"
            "restore_time_ms = 600\n";
    text += mOptions.mHasProxies
              ? "member_id = " + std::to_string(NumberOf(aName)) +
                  "\npeers = " + peers
              : "seeds = " + seeds +
                  "\nbootstrap = " + (mIsFirstStart ? "true" : "false") +
                  "\ntolerated_losses = 1";
    return text + "\n";
  }
  text += mOptions.mHasProxies
            ? "control_addresses = " + links
            : "control_addresses = " + seeds +
                "\ncontrol_link_port = " + std::to_string(mPort + kLinkPort);
  if (isEntry) {
    text += "\nfrontend_address = " + service +
            "\nreadiness_address = " + ToString(AddressOf(aName, kProbePort));
  } else {
    text += "\nannounce_address = " + service;
  }
  return text + "\n";
}

void
Fleet::StartProcess(const std::string& aName)
{
  const std::string settings = mOptions.mFolder + "/" + aName + ".ini";
  std::ofstream(settings) << MakeSettings(aName);
  std::vector<std::string> command = { kDaemon, "--settings", settings };
  if (RoleOf(aName) == "control") {
    command.insert(command.end(),
                   { "--set",
                     "control.evacuation_time_ms=",
                     "--set",
                     "control.zones=zone-1,zone-2,zone-3" });
  }
  mPids[aName] = Spawn(command, mOptions.mFolder + "/" + aName + ".log");
}

void
Fleet::Signal(const std::string& aName, int aSignal)
{
  const auto it = mPids.find(aName);
  if (it == mPids.end()) {
    return;
  }
  ::kill(it->second, aSignal);
  if (aSignal == SIGKILL) {
    ::waitpid(it->second, nullptr, 0);
    mPids.erase(it);
  }
}

bool
Fleet::StartMembers()
{
  for (int zone = 1; zone <= kZones; ++zone) {
    const std::string name = NameOf("control", zone);
    if (!mOptions.mHasProxies) {
      continue;
    }
    mProxies.push_back(std::make_unique<LinkProxy>(
      LinkAddress(zone),
      AddressOf(name, kLinkPort),
      AllNames(),
      [this, name](const std::string& aFrom) { return IsCut(aFrom, name); }));
    if (!mProxies.back()->IsOpen()) {
      return false;
    }
    const std::string settings = mOptions.mFolder + "/" + name + ".ini";
    std::ofstream(settings) << MakeSettings(name);
    const pid_t pid = Spawn({ kDaemon, "--settings", settings, "--found" },
                            mOptions.mFolder + "/" + name + ".log");
    int status = 0;
    ::waitpid(pid, &status, 0);
    if (status != 0) {
      return false;
    }
  }
  for (const auto& name : AllNames()) {
    StartProcess(name);
  }
  return true;
}

void
Fleet::StartMinions()
{
  for (int i = 1; i <= mOptions.mAgents; ++i) {
    const std::string agent = NameOf("agent", i);
    MinionOptions options;
    options.mId = "i-" + std::to_string(i);
    options.mAddress = AddressOf(agent, kMinionPort);
    options.mAnnounceTo = AddressOf(agent, kServicePort);
    options.mZone = ZoneOf(agent);
    options.mCores = mOptions.mCores;
    options.mWorkMs = mOptions.mWorkMs;
    options.mEnd = mOptions.mEnd;
    mMinions.push_back(std::make_unique<Minion>(options, mRecord, mStarts));
  }
}

bool
Fleet::Start(const Json& aConfig)
{
  constexpr std::int64_t kStartMs = 20000;
  constexpr std::int64_t kLeaseMs = 2500; // for the first leases
  if (!StartMembers()) {
    return false;
  }
  StartMinions();
  const auto deadline = NowMs() + kStartMs;
  while (PutConfig(aConfig) != kOk) {
    if (NowMs() > deadline) {
      return false;
    }
  }
  const std::string prefix = aConfig["routes"][0]["path_prefix"];
  for (int zone = 1; zone <= kZones; ++zone) {
    const auto isServed = [](int aStatus) { return aStatus == kOk; };
    const auto answer =
      CallUntil(zone, "GET", prefix, {}, deadline - NowMs(), isServed);
    if (answer.mStatus != kOk) {
      return false;
    }
  }
  SleepMs(kLeaseMs);
  mIsFirstStart = false;
  mRecord.Add("the deployment serves");
  return true;
}

int
Fleet::PutConfig(const Json& aConfig)
{
  constexpr std::int64_t kTimeoutMs = 1000;
  constexpr std::int64_t kPauseMs = 200;
  constexpr std::int64_t kGiveUpMs = 10000;
  const auto deadline = NowMs() + kGiveUpMs;
  int status = 0;
  for (std::size_t i = 0; NowMs() < deadline; i = (i + 1) % mControls.size()) {
    status = Call(AddressOf(NameOf("control", mControls[i]), kServicePort),
                  "PUT",
                  "/-/config",
                  {},
                  aConfig.dump(),
                  kTimeoutMs)
               .mStatus;
    if (status == kOk || (status >= 400 && status < kServerError)) {
      mRecord.Add("operator: configuration " + aConfig["version"].dump() +
                  " -> " + std::to_string(status));
      return status;
    }
    SleepMs(status == 0 ? kPauseMs : kPauseMs / 4);
  }
  return status;
}

HttpAnswer
Fleet::ReadConfig(int aControl)
{
  constexpr std::int64_t kTimeoutMs = 1000;
  return Call(AddressOf(NameOf("control", aControl), kServicePort),
              "GET",
              "/-/config",
              {},
              {},
              kTimeoutMs);
}

int
Fleet::FindLeader()
{
  for (const int control : mControls) {
    if (ReadConfig(control).mStatus == kOk) {
      return control;
    }
  }
  return 0;
}

void
Fleet::SetControls(const std::vector<int>& aControls)
{
  mControls = aControls;
  for (const auto& [name, pid] : mPids) {
    std::ofstream(mOptions.mFolder + "/" + name + ".ini") << MakeSettings(name);
  }
}

void
Fleet::WipeDisk(const std::string& aName) const
{
  std::filesystem::remove_all(mOptions.mFolder + "/data-" +
                              std::to_string(NumberOf(aName)));
}

bool
Fleet::IsRunning(const std::string& aName)
{
  const auto it = mPids.find(aName);
  if (it != mPids.end() && ::waitpid(it->second, nullptr, WNOHANG) != 0) {
    mPids.erase(it);
    return false;
  }
  return it != mPids.end();
}

HttpAnswer
Fleet::CallEntry(int aZone,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aBody)
{
  constexpr std::int64_t kDeadlineMs = 3000;
  const std::string what =
    "client: " + aMethod + " " + aPath + " at entry-" + std::to_string(aZone);
  mRecord.Add(what);
  auto answer =
    Call(AddressOf(NameOf("entry", aZone), kServicePort),
         aMethod,
         aPath,
         { { "Host", kHost },
           { "Api-Key", kKey },
           { "Dogwooddrum-Deadline-Ms", std::to_string(kDeadlineMs) } },
         aBody,
         kDeadlineMs);
  mRecord.Add(what + " -> " + std::to_string(answer.mStatus) + " " +
              answer.mBody);
  return answer;
}

HttpAnswer
Fleet::CallUntil(int aZone,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aBody,
                 std::int64_t aForMs,
                 const std::function<bool(int aStatus)>& aWanted)
{
  constexpr std::int64_t kPauseMs = 100;
  const auto deadline = NowMs() + aForMs;
  while (true) {
    auto answer = CallEntry(aZone, aMethod, aPath, aBody);
    if (aWanted(answer.mStatus) || NowMs() >= deadline) {
      return answer;
    }
    SleepMs(kPauseMs);
  }
}

void
Fleet::Cut(CutRule aRule)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mRecord.Add(aRule ? "cut" : "the cut heals");
  mCutRule = std::move(aRule);
}

bool
Fleet::IsCut(const std::string& aOne, const std::string& aOther) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mCutRule && mCutRule(aOne, aOther);
}

Json
MakeConfig(std::uint64_t aVersion, const std::vector<Route>& aRoutes)
{
  Json config = { { "version", aVersion },
                  { "routes", Json::array() },
                  { "services",
                    { { { "name", "works" },
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
                        { "guaranteed", { { "gpu", 8 } } } } } } };
  for (const Route& route : aRoutes) {
    config["routes"].push_back({ { "name", route.mName },
                                 { "host", kHost },
                                 { "path_prefix", route.mPrefix },
                                 { "kind", "non_idempotent" },
                                 { "timeout_ms", 3000 },
                                 { "target_runtime_ms", 1000 },
                                 { "priority", route.mPriority },
                                 { "service", "works" },
                                 { "max_attempts", 3 },
                                 { "slack_factor", 3.0 },
                                 { "public", false } });
  }
  return config;
}

std::string
MakeJob(int aSteps, int aCores, int aTasks)
{
  Json job = { { "spec", "work" }, { "steps", Json::array() } };
  for (int i = 0; i < aSteps; ++i) {
    Json step = { { "count", aTasks },
                  { "cpu", aCores * 1000 },
                  { "mem_mb", 1024 },
                  { "estimate_ms", 5000 } };
    if (i > 0) {
      step["depends_on"] = { i - 1 };
    }
    job["steps"].push_back(step);
  }
  return job.dump();
}

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace review
