// Guards against one odd message of a target, or of another writer, that ends a
// process or spoils what it knows of the other targets: deep nesting, numbers
// out of range, bad ports, and texts or lists of excessive size.
#include "platform/Platform.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace dogwooddrum::tests {
namespace {

using nlohmann::json;

const protocol::TargetIncarnation kTarget{ "i-1", 1000 };

json
ValidAnnouncement()
{
  return json{ { "service", "pool" },
               { "addr", "10.0.0.9:8080" },
               { "zone", "z" },
               { "version", "v1" },
               { "slots", 8 },
               { "state", "ready" },
               { "warmup_left_ms", 0 },
               { "capacity",
                 { { "cpu", 16000 }, { "mem_mb", 32768 }, { "gpu", 8 } } },
               { "labels", { "a", "r1" } },
               { "born", 1000 },
               { "seq", 4 } };
}

base::Outcome<daemon::Announcement>
Announce(const std::string& aBody, const std::string& aInstance = "i-1")
{
  transport::ServerRequest request;
  request.mMethod = "PUT";
  request.mPath = "/-/instances/" + aInstance;
  request.mBody = aBody;
  return platform::MakeTargetProtocol()->Decode(request);
}

/** Returns the outcome of a valid announcement with one field replaced. */
base::Outcome<daemon::Announcement>
AnnounceWith(const char* aField, const json& aValue)
{
  json body = ValidAnnouncement();
  body[aField] = aValue;
  return Announce(body.dump());
}

base::Outcome<daemon::RunListing>
List(const std::string& aBody)
{
  transport::HttpResponse response;
  response.mStatus = 200;
  response.mBody = aBody;
  return platform::MakeTargetProtocol()->DecodeRunListing(response, kTarget);
}

std::string
Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

TEST(OddTargetMessages, ValidAnnouncementIsTaken)
{
  EXPECT_TRUE(Announce(ValidAnnouncement().dump()));
}

// A heartbeat of another writer, with fields missing, was taken for the next
// target of a VM.
TEST(OddTargetMessages, AnnouncementWithMissingFieldsIsRejected)
{
  const json valid = ValidAnnouncement();
  for (const auto& field : valid.items()) {
    if (field.key() == "born") {
      continue; // the page's own example has none
    }
    json body = valid;
    body.erase(field.key());
    EXPECT_FALSE(Announce(body.dump())) << field.key();
    EXPECT_FALSE(AnnounceWith(field.key().c_str(), json::object()))
      << field.key();
  }
}

// A recursive decoder would use up the stack. 500,000 levels are as many as a
// message of 1 MB holds.
TEST(OddTargetMessages, DeepNestingEndsNoProcess)
{
  const std::string deep = Nested(500000);
  EXPECT_FALSE(Announce(deep));
  for (const char* field : { "capacity", "labels", "addr", "born" }) {
    json body = ValidAnnouncement();
    body[field] = "@";
    std::string text = body.dump();
    text.replace(text.find("\"@\""), 3, deep);
    const auto announced = Announce(text);
    EXPECT_FALSE(announced) << field;
    EXPECT_EQ(
      platform::MakeTargetProtocol()->Reject(announced.LastFailure()).mStatus,
      400U);
  }
  EXPECT_FALSE(List("{\"clock_ms\":1,\"running\":" + deep + "}"));
}

TEST(OddTargetMessages, NumbersOutOfRangeAreRejected)
{
  for (const char* number : { "18446744073709551615",
                              "9223372036854775808",
                              "1000000000000000000",
                              "1e30",
                              "-1",
                              "123456789012345678901234567890" }) {
    for (const char* field : { "born", "seq", "remaining_ms" }) {
      EXPECT_FALSE(AnnounceWith(field, json::parse(number)))
        << field << ' ' << number;
    }
    for (const char* kind : { "cpu", "mem_mb", "gpu" }) {
      json capacity = ValidAnnouncement()["capacity"];
      capacity[kind] = json::parse(number);
      EXPECT_FALSE(AnnounceWith("capacity", capacity)) << kind << ' ' << number;
    }
  }
}

TEST(OddTargetMessages, PortsOutOfRangeAreRejected)
{
  for (const char* address : { "10.0.0.9:0",
                               "10.0.0.9:65536",
                               "10.0.0.9:-1",
                               "10.0.0.9:99999999999",
                               "10.0.0.9:",
                               "10.0.0.9",
                               ":80" }) {
    EXPECT_FALSE(AnnounceWith("addr", address)) << address;
  }
}

TEST(OddTargetMessages, ExcessiveTextsAndListsAreRejected)
{
  const std::string huge(2000000, 'x');
  for (const char* field : { "service", "zone" }) {
    EXPECT_FALSE(AnnounceWith(field, huge)) << field;
  }
  EXPECT_FALSE(AnnounceWith("labels", json::array({ "a", huge })));
  EXPECT_FALSE(AnnounceWith("labels", std::vector<std::string>(1000, "a")));
  EXPECT_FALSE(Announce(ValidAnnouncement().dump(), huge));
}

// The reason is logged and sent back.
TEST(OddTargetMessages, ReasonOfARejectionIsShort)
{
  constexpr std::size_t kMaxReasonBytes = 1000;
  const std::string huge(2000000, 'x');
  for (const auto& outcome :
       { AnnounceWith("state", huge), Announce("{\"a\":\"" + huge) }) {
    ASSERT_FALSE(outcome);
    EXPECT_LE(outcome.LastFailure().mMessage.size(), kMaxReasonBytes);
  }
  const auto listed = List("{\"a\":\"" + huge);
  ASSERT_FALSE(listed);
  EXPECT_LE(listed.LastFailure().mMessage.size(), kMaxReasonBytes);
}

// A run number beyond 32 bits was taken for another run's.
TEST(OddTargetMessages, RunNumbersOutOfRangeAreRejected)
{
  EXPECT_TRUE(List(R"({"clock_ms":1,"running":[["a.0.0.0",1,"",5]]})"));
  EXPECT_FALSE(
    List(R"({"clock_ms":1,"running":[["a.0.0.0",4294967297,"",5]]})"));
  EXPECT_FALSE(
    List(R"({"clock_ms":1,"running":[["a.0.0.0",1,"",4294967297]]})"));
  EXPECT_FALSE(
    List(R"({"clock_ms":1,"ended":[[1,"a.0.0.0",4294967297,"done",""]]})"));
  EXPECT_FALSE(List(R"({"clock_ms":9223372036854775807,"running":[]})"));
}

} // namespace
} // namespace dogwooddrum::tests
