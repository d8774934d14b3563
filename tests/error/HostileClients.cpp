// Guards against clients outside the limits that make a process end, hang,
// follow each byte with its memory, or refuse ordinary callers. Each test
// starts one process on loopback addresses and checks that it lives, that its
// memory and descriptors stay under a bound, and that one ordinary request is
// answered afterwards.
#include "tests/support/ProcessCluster.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace dogwooddrum::support {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kCrowd = 8;
constexpr std::size_t kBytesPerClient = 16U << 20;
constexpr long kMemoryGrowthKb = 40L << 10;
constexpr int kDescriptorGrowth = 40;
constexpr int kConnections = 16; ///< limit in the entry's settings

/** Sends aBegin, then aPart again and again. */
struct Pattern
{
  std::string mBegin;
  std::string mPart;
};

const std::string kChunked =
  "POST /a/0123456789abcdef HTTP/1.1\r\nHost: a.example\r\n"
  "Transfer-Encoding: chunked\r\n\r\n";

const Pattern kTrailers{ kChunked + "0\r\n",
                         "X-Field: " + std::string(1000, 'x') + "\r\n" };
const Pattern kShortTrailers{ kChunked + "0\r\n", "a:b\r\n" };
const Pattern kChunkExtension{ kChunked + "1;a=", std::string(1000, 'x') };
const Pattern kExtendedChunks{ kChunked,
                               "1;a=" + std::string(4000, 'x') + "\r\ny\r\n" };
const Pattern kSmallChunks{ kChunked, "1\r\ny\r\n" };
const Pattern kHeader{ "GET / HTTP/1.1\r\n",
                       "X-Field: " + std::string(1000, 'x') + "\r\n" };
const Pattern kShortFields{ "GET / HTTP/1.1\r\n", "a:b\r\n" };
const Pattern kTarget{ "GET /?", "a=&" };
const Pattern kPipelined{ "", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n" };
const Pattern kNoise{ "", std::string(1000, '\x7f') };

/** Client that sends more than it may and reads nothing. */
class Client
{
public:
  explicit Client(std::uint16_t aPort)
    : mSocket(mIo)
  {
    boost::system::error_code ec;
    mSocket.connect({ asio::ip::address_v4::loopback(), aPort }, ec);
    // A server may stop reading; the client then has done its part.
    const timeval limit{ 1, 0 };
    ::setsockopt(
      mSocket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  }
  /** Returns false once the connection takes no more bytes. */
  bool Send(const std::string& aText)
  {
    std::size_t sent = 0;
    while (sent < aText.size()) {
      const auto n = ::send(mSocket.native_handle(),
                            aText.data() + sent,
                            aText.size() - sent,
                            MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }

private:
  asio::io_context mIo;
  tcp::socket mSocket;
};

/** One daemon without peers, with all HTTP ports of its role. */
class Daemon
{
public:
  explicit Daemon(const std::string& aRole)
    : mHttpPort(FreePort())
    , mOtherPort(FreePort())
    , mReadinessPort(FreePort())
    , mLinkPort(FreePort())
  {
    std::string name =
      (std::filesystem::temp_directory_path() / "dogwooddrum-XXXXXX").string();
    mFolder = ::mkdtemp(name.data());
    const auto other = "127.0.0.1:" + std::to_string(mOtherPort);
    const bool isControl = aRole == "control";
    std::ofstream out(mFolder + "/d.ini");
    out << "[common]\nrole = " << aRole
        << "\nname = d\nregion = test\nzone = zone-1\nhttp_port = " << mHttpPort
        << "\nlink_port = " << (isControl ? mLinkPort : 0)
        << "\nkey = link-key-for-tests-0123456789\n[" << aRole << "]\n";
    if (isControl) {
      out << "member_id = 1\npeers = 1=127.0.0.1:" << mLinkPort
          << "\ndata_folder = " << mFolder
          << "/data\noperator_address = " << other << "\n";
    } else if (aRole == "entry") {
      out << "control_addresses =\nconnections = " << kConnections
          << "\nfrontend_address = " << other
          << "\nreadiness_address = 127.0.0.1:" << mReadinessPort << "\n";
    } else {
      out << "control_addresses =\nannounce_address = " << other << "\n";
    }
    out.close();
    if (isControl) {
      int status = 0;
      ::waitpid(Spawn(true), &status, 0);
    }
    mPid = Spawn(false);
    EXPECT_TRUE(Eventually([&] { return IsAnswering(mHttpPort, "/healthz"); }))
      << Log();
  }
  ~Daemon()
  {
    if (mPid > 0) {
      ::kill(mPid, SIGKILL);
      ::waitpid(mPid, nullptr, 0);
    }
    std::error_code ec;
    std::filesystem::remove_all(mFolder, ec);
  }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  static bool IsAnswering(std::uint16_t aPort, const std::string& aTarget)
  {
    transport::HttpClient client({ "127.0.0.1", aPort });
    transport::HttpRequest request;
    request.mTarget = aTarget;
    return static_cast<bool>(client.Call(request, base::Milliseconds(5000)));
  }
  /** Limits the descriptors that the process may open from now on. */
  void LimitDescriptors(int aMore) const
  {
    rlimit limit = {};
    ::prlimit(mPid, RLIMIT_NOFILE, nullptr, &limit);
    limit.rlim_cur =
      static_cast<rlim_t>(Descriptors()) + static_cast<rlim_t>(aMore);
    ::prlimit(mPid, RLIMIT_NOFILE, &limit, nullptr);
  }
  bool IsAlive() const { return ::waitpid(mPid, nullptr, WNOHANG) == 0; }
  /** Returns the largest resident memory so far. */
  long PeakMemoryKb() const
  {
    std::ifstream status("/proc/" + std::to_string(mPid) + "/status");
    std::string word;
    while (status >> word) {
      if (word == "VmHWM:") {
        long kb = 0;
        status >> kb;
        return kb;
      }
    }
    return -1;
  }
  /** Returns the peak once it no longer rises: bytes that were sent may still
   * wait in buffers of the system. */
  long SettledPeakMemoryKb() const
  {
    long peak = PeakMemoryKb();
    for (int unchanged = 0; unchanged < 5; ++unchanged) {
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      const long now = PeakMemoryKb();
      unchanged = now == peak ? unchanged : -1;
      peak = now;
    }
    return peak;
  }
  int Descriptors() const
  {
    const std::filesystem::directory_iterator files(
      "/proc/" + std::to_string(mPid) + "/fd");
    return static_cast<int>(std::distance(begin(files), end(files)));
  }
  std::string Log() const
  {
    std::ifstream file(mFolder + "/d.log");
    return { std::istreambuf_iterator<char>(file), {} };
  }

  const std::uint16_t mHttpPort;
  const std::uint16_t mOtherPort; ///< frontend, operators or announcements
  const std::uint16_t mReadinessPort;
  const std::uint16_t mLinkPort;

private:
  pid_t Spawn(bool aFound) const
  {
    const auto settings = mFolder + "/d.ini";
    const auto log = mFolder + "/d.log";
    std::vector<std::string> command = { DOGWOODDRUM_BUILD_FOLDER
                                         "/dogwooddrum/daemon/dogwooddrumd",
                                         "--settings",
                                         settings };
    if (aFound) {
      command.emplace_back("--found");
    }
    std::vector<char*> arguments;
    for (auto& argument : command) {
      arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
      &actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    pid_t pid = -1;
    posix_spawn(
      &pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    return pid;
  }

  std::string mFolder;
  pid_t mPid = -1;
};

struct Port
{
  const char* mName;
  const char* mRole;
  const std::uint16_t Daemon::*mPort;
};

void
PrintTo(const Port& aPort, std::ostream* aOut)
{
  *aOut << aPort.mName;
}

struct PatternRow
{
  const char* mName;
  const Pattern* mPattern;
};

void
PrintTo(const PatternRow& aRow, std::ostream* aOut)
{
  *aOut << aRow.mName;
}

/** A crowd in which each client sends up to kBytesPerClient. */
class HostileClients
  : public testing::TestWithParam<std::tuple<Port, PatternRow>>
{};

TEST_P(HostileClients, LeaveMemoryBoundedAndOrdinaryCallersAnswered)
{
  const auto& [port, row] = GetParam();
  const Daemon daemon(port.mRole);
  const auto number = daemon.*port.mPort;
  const long memory = daemon.PeakMemoryKb();
  const int descriptors = daemon.Descriptors();
  const auto& pattern = *row.mPattern;
  std::string block;
  while (block.size() < (64U << 10)) {
    block += pattern.mPart;
  }
  std::vector<std::unique_ptr<Client>> crowd;
  std::vector<std::thread> threads;
  for (int i = 0; i < kCrowd; ++i) {
    crowd.push_back(std::make_unique<Client>(number));
    threads.emplace_back([&, client = crowd.back().get()] {
      std::size_t sent = 0;
      bool open = client->Send(pattern.mBegin);
      while (open && sent < kBytesPerClient) {
        open = client->Send(block);
        sent += block.size();
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  EXPECT_LT(daemon.SettledPeakMemoryKb() - memory, kMemoryGrowthKb);
  EXPECT_TRUE(daemon.IsAlive());
  EXPECT_LT(daemon.Descriptors() - descriptors, kDescriptorGrowth);
  const bool isLink = number == daemon.mLinkPort;
  EXPECT_TRUE(daemon.IsAnswering(isLink ? daemon.mHttpPort : number, "/-/x"))
    << daemon.Log();
}

const Port kPorts[] = {
  { "Frontend", "entry", &Daemon::mOtherPort },
  { "Readiness", "entry", &Daemon::mReadinessPort },
  { "EntryHttp", "entry", &Daemon::mHttpPort },
  { "Operators", "control", &Daemon::mOtherPort },
  { "ControlHttp", "control", &Daemon::mHttpPort },
  { "Announcements", "agent", &Daemon::mOtherPort },
};
const PatternRow kPatterns[] = {
  { "Trailers", &kTrailers },
  { "ShortTrailers", &kShortTrailers },
  { "ChunkExtension", &kChunkExtension },
  { "ExtendedChunks", &kExtendedChunks },
  { "SmallChunks", &kSmallChunks },
  { "Header", &kHeader },
  { "ShortFields", &kShortFields },
  { "Target", &kTarget },
  { "Pipelined", &kPipelined },
};

std::string
NameOf(const testing::TestParamInfo<std::tuple<Port, PatternRow>>& aInfo)
{
  return std::string(std::get<0>(aInfo.param).mName) +
         std::get<1>(aInfo.param).mName;
}

INSTANTIATE_TEST_SUITE_P(HttpPorts,
                         HostileClients,
                         testing::Combine(testing::ValuesIn(kPorts),
                                          testing::ValuesIn(kPatterns)),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(
  LinkPort,
  HostileClients,
  testing::Combine(
    testing::Values(Port{ "Links", "control", &Daemon::mLinkPort }),
    testing::Values(PatternRow{ "Noise", &kNoise },
                    PatternRow{ "Trailers", &kTrailers })),
  NameOf);

class HostileHolders : public testing::TestWithParam<Port>
{};

TEST_P(HostileHolders, LargeBodiesThatNeverEndLeaveMemoryBounded)
{
  const Daemon daemon(GetParam().mRole);
  const auto number = daemon.*GetParam().mPort;
  const long memory = daemon.PeakMemoryKb();
  constexpr std::size_t kBodyBytes = 2U << 20;
  constexpr int kHolders = 48;
  std::vector<std::unique_ptr<Client>> crowd;
  for (int i = 0; i < kHolders; ++i) {
    crowd.push_back(std::make_unique<Client>(number));
    if (crowd.back()->Send("POST /a/0123456789abcdef HTTP/1.1\r\nHost: a\r\n"
                           "Content-Length: " +
                           std::to_string(kBodyBytes) + "\r\n\r\n")) {
      crowd.back()->Send(std::string(kBodyBytes - 1, 'x'));
    }
  }
  EXPECT_LT(daemon.SettledPeakMemoryKb() - memory, kMemoryGrowthKb);
  EXPECT_TRUE(daemon.IsAlive());
  EXPECT_TRUE(daemon.IsAnswering(number, "/-/x")) << daemon.Log();
}

INSTANTIATE_TEST_SUITE_P(Ports,
                         HostileHolders,
                         testing::Values(kPorts[1], kPorts[4], kPorts[5]),
                         [](const testing::TestParamInfo<Port>& aInfo) {
                           return aInfo.param.mName;
                         });

TEST(HostileClientsAtTheLimit, UnendedHeadersLeaveOrdinaryCallersAnswered)
{
  const Daemon daemon("entry");
  for (const auto port : { daemon.mOtherPort, daemon.mHttpPort }) {
    std::vector<std::unique_ptr<Client>> crowd;
    for (int i = 0; i < kConnections; ++i) {
      crowd.push_back(std::make_unique<Client>(port));
      crowd.back()->Send("GET / HTTP/1.1\r\nX-Field: ");
    }
    EXPECT_TRUE(daemon.IsAnswering(port, "/-/x")) << port;
  }
  EXPECT_TRUE(daemon.IsAlive());
}

TEST(HostileClientsAtTheLimit, LackOfDescriptorsLeavesOrdinaryCallersAnswered)
{
  const Daemon daemon("control");
  constexpr int kFreeDescriptors = 20;
  daemon.LimitDescriptors(kFreeDescriptors);
  for (const auto port : { daemon.mHttpPort, daemon.mOtherPort }) {
    std::vector<std::unique_ptr<Client>> crowd;
    for (int i = 0; i < 2 * kFreeDescriptors; ++i) {
      crowd.push_back(std::make_unique<Client>(port));
    }
    EXPECT_TRUE(daemon.IsAnswering(port, "/-/x")) << port;
  }
  EXPECT_TRUE(daemon.IsAlive());
}

TEST(HostileClientsAtTheLimit, SilentConnectionsLeaveDescriptorsBounded)
{
  const Daemon daemon("entry");
  const int descriptors = daemon.Descriptors();
  std::vector<std::unique_ptr<Client>> crowd;
  for (int i = 0; i < 4 * kConnections; ++i) {
    crowd.push_back(std::make_unique<Client>(daemon.mOtherPort));
  }
  EXPECT_TRUE(daemon.IsAnswering(daemon.mOtherPort, "/-/x"));
  EXPECT_TRUE(daemon.IsAlive());
  EXPECT_LT(daemon.Descriptors() - descriptors, kDescriptorGrowth);
}

} // namespace

} // namespace dogwooddrum::support
