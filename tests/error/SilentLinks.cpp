// Guards against requests that hang because connections were cut, or stay open
// without forwarding data while new connections work.
#include "tests/support/ProcessCluster.h"
#include "tests/support/TcpProxy.h"

#include <gtest/gtest.h>

#include <map>
#include <thread>

namespace dogwooddrum::support {

namespace {

/** A cluster whose entries and agents reach control through proxies. */
class SilentLinks : public testing::Test
{
protected:
  SilentLinks()
    : mCluster(MakeOptions())
  {
    mCluster.StartAll();
  }

  ProcessClusterOptions MakeOptions()
  {
    ProcessClusterOptions options;
    options.mControlAddress = [this](int aControl, std::uint16_t aPort) {
      auto& proxy = mProxies[aControl];
      if (!proxy) {
        proxy = std::make_unique<TcpProxy>(aPort);
      }
      return "127.0.0.1:" + std::to_string(proxy->Port());
    };
    return options;
  }

  /** Runs a job to its end and returns how long that took. */
  std::chrono::milliseconds RunJob(const std::string& aKey)
  {
    const auto begin = std::chrono::steady_clock::now();
    const auto job = mCluster.Submit("entry-1", aKey, 15000);
    EXPECT_TRUE(job && JsonField(job->mBody, "state") == "finished")
      << (job ? job->mBody : job.LastFailure().mMessage);
    return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - begin);
  }

  std::map<int, std::unique_ptr<TcpProxy>> mProxies;
  ProcessCluster mCluster;
};

} // namespace

TEST_F(SilentLinks, CutLinksAreReplaced)
{
  ASSERT_TRUE(mCluster.WaitReady()) << mCluster.ReadLog("control-1");
  for (const auto& [control, proxy] : mProxies) {
    proxy->Cut();
  }
  EXPECT_LT(RunJob("cut").count(), 8000);
}

TEST_F(SilentLinks, SilentLinksAreReplaced)
{
  ASSERT_TRUE(mCluster.WaitReady()) << mCluster.ReadLog("control-1");
  for (const auto& [control, proxy] : mProxies) {
    proxy->Silence();
  }
  // Detection takes at most 2 s; the bound allows for a busy machine.
  EXPECT_LT(RunJob("silent").count(), 8000);
}

TEST_F(SilentLinks, SilentReplacementsAreGivenUp)
{
  ASSERT_TRUE(mCluster.WaitReady()) << mCluster.ReadLog("control-1");
  for (const auto& [control, proxy] : mProxies) {
    proxy->SilenceNew(true);
    proxy->Silence();
  }
  // Long enough for the first replacements to begin a handshake.
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  for (const auto& [control, proxy] : mProxies) {
    proxy->SilenceNew(false);
  }
  EXPECT_LT(RunJob("again").count(), 8000);
}

} // namespace dogwooddrum::support
