// Guards against counts that are lost under concurrent use, and against metrics
// text that a Prometheus server refuses.
#include "dogwooddrum/service/Metrics.h"

#include <gtest/gtest.h>

#include <array>
#include <regex>
#include <sstream>
#include <thread>

namespace dogwooddrum::service {

namespace {

double
ValueOf(const std::string& aText, const std::string& aName)
{
  const auto at = aText.find("\n" + aName + " ");
  EXPECT_NE(at, std::string::npos) << aName;
  return std::stod(aText.substr(at + aName.size() + 2));
}

} // namespace

TEST(MetricsText, ConcurrentCountsAreNotLost)
{
  Metrics metrics;
  std::array<std::thread, 4> threads;
  for (std::thread& thread : threads) {
    thread = std::thread([&] {
      for (int n = 0; n < 10000; ++n) {
        metrics.Add(Counter::RequestsReceived);
        metrics.CountRefusal(base::Reason::QueueFull);
        metrics.Observe(Distribution::QueueTime,
                        base::ProfileId("interactive"),
                        base::Milliseconds(1));
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  const std::string text = metrics.Render();
  EXPECT_EQ(metrics.Value(Counter::RequestsReceived), 40000U);
  EXPECT_EQ(ValueOf(text, "dogwooddrum_refusals_total{reason=\"queue_full\"}"),
            40000);
  EXPECT_EQ(ValueOf(text,
                    "dogwooddrum_queue_time_seconds_count"
                    "{profile=\"interactive\"}"),
            40000);
}

TEST(MetricsText, QuantilesAreCloseToExactValues)
{
  Metrics metrics;
  // 7919 is coprime to 10000: every millisecond value occurs once.
  for (int i = 0; i < 10000; ++i) {
    metrics.Observe(Distribution::CompletionTime,
                    base::ProfileId("batch"),
                    base::Milliseconds(i * 7919 % 10000));
  }
  const std::string text = metrics.Render();
  const std::string name =
    "dogwooddrum_completion_time_seconds{profile=\"batch\",quantile=";
  EXPECT_NEAR(ValueOf(text, name + "\"0.5\"}"), 5.0, 0.2);
  EXPECT_NEAR(ValueOf(text, name + "\"0.95\"}"), 9.5, 0.2);
  EXPECT_NEAR(ValueOf(text, name + "\"0.99\"}"), 9.9, 0.1);
}

TEST(MetricsText, EveryLineIsValidExposition)
{
  Metrics metrics;
  metrics.Set(Gauge::CommitIndex, 123456789012);
  metrics.Observe(Distribution::QueueTime,
                  base::ProfileId("a\"b\\c\nd"),
                  base::Milliseconds(1));
  const std::string text = metrics.Render();
  EXPECT_EQ(ValueOf(text, "dogwooddrum_commit_index"), 123456789012);
  EXPECT_EQ(text.find("dogwooddrum_is_leader"), std::string::npos)
    << "a gauge that was never set is rendered";
  const std::regex sample(
    R"([a-z_]+(\{([a-z]+="([^"\\]|\\.)*",?)+\})? -?[0-9.e+-]+)");
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    EXPECT_TRUE(line.rfind("# ", 0) == 0 || std::regex_match(line, sample))
      << line;
  }
}

TEST(MetricsText, RefusedPreVotesAreCountedByReason)
{
  Metrics metrics;
  metrics.CountPreVoteRefusal(PreVoteRefusal::OwnLogIsNewer);
  metrics.Add(Counter::JoinRequestsSent, 2);
  metrics.Add(Counter::JoinRequestsReceived, 3);
  const std::string text = metrics.Render();
  const std::string name = "dogwooddrum_pre_votes_refused_total{reason=";
  EXPECT_EQ(ValueOf(text, name + "\"own_log_is_newer\"}"), 1);
  EXPECT_EQ(ValueOf(text, name + "\"hears_leader\"}"), 0);
  EXPECT_EQ(ValueOf(text, name + "\"old_term\"}"), 0);
  EXPECT_EQ(ValueOf(text, "dogwooddrum_join_requests_sent_total"), 2);
  EXPECT_EQ(ValueOf(text, "dogwooddrum_join_requests_received_total"), 3);
}

TEST(MetricsText, NumberOfProfilesIsBounded)
{
  Metrics metrics;
  for (int i = 0; i < 1000; ++i) {
    metrics.Observe(Distribution::QueueTime,
                    base::ProfileId("p" + std::to_string(i)),
                    base::Milliseconds(1));
  }
  EXPECT_EQ(ValueOf(metrics.Render(),
                    "dogwooddrum_queue_time_seconds_count{profile=\"other\"}"),
            936);
}

} // namespace dogwooddrum::service
