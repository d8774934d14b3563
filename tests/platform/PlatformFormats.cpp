// Guards against wrong names, units or status codes in the translation of the
// platform's calls: these would lose constraints of a workload, or report that
// a workload did not run although it may have run.
#include "platform/Platform.h"

#include <gtest/gtest.h>

namespace dogwooddrum::tests {
namespace {

using daemon::CallKind;
using daemon::CallRefusal;
using daemon::OrderResult;
using protocol::WorkloadReply;
using protocol::WorkloadResult;
using transport::HttpOutcome;
using transport::ServerRequest;

ServerRequest
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody = "")
{
  ServerRequest request;
  request.mMethod = aMethod;
  request.mPath = aPath;
  request.mBody = aBody;
  return request;
}

HttpOutcome
MakeOutcome(unsigned aStatus, const std::string& aBody)
{
  transport::HttpResponse response;
  response.mStatus = aStatus;
  response.mBody = aBody;
  return { std::move(response) };
}

const protocol::TargetIncarnation kTargetIncarnation{ "i-7f3a91c2", 5 };
const protocol::RunId kRun{
  { protocol::WorkloadId("5c0e7a21d94b36f8"), 0, 1, 17 },
  protocol::RunNumber(2)
};

TEST(CallerCalls, ReadsHeadersAndMethods)
{
  const auto callers = platform::MakeCallerProtocol();
  auto request = MakeRequest("POST", "/lohu930/5c0e7a21d94b36f8");
  request.mHeaders = { { "host", "nony24.example:8521" },
                       { "api-key", "d4a3" },
                       { "dogwooddrum-deadline-ms", "2500" } };
  const auto call = callers->Decode(request);
  EXPECT_EQ(call.mKind, CallKind::Submit);
  EXPECT_EQ(call.mHost, "nony24.example");
  EXPECT_EQ(call.mKey, "d4a3");
  EXPECT_EQ(call.mCallerTimeout, base::Milliseconds(2500));
  EXPECT_EQ(callers->Decode(MakeRequest("GET", "/")).mKind, CallKind::Read);
  EXPECT_EQ(callers->Decode(MakeRequest("DELETE", "/")).mKind,
            CallKind::Cancel);
  EXPECT_TRUE(callers->IsWorkloadId("5c0e7a21d94b36f8"));
  EXPECT_FALSE(callers->IsWorkloadId("5c0e7a21d94b36f"));
  EXPECT_FALSE(callers->IsWorkloadId("5c0e7a21d94b36fx"));
}

TEST(CallerCalls, ReadsEachConstraintOfAStep)
{
  const auto spec = platform::MakeCallerProtocol()->DecodeWorkload(
    R"({"spec":"text","repeat_count":2,"first_ms":10,"interval_ms":20,
    "steps":[{"count":4,"cpu":500,"mem_mb":256,"gpu":2,"estimate_ms":900},
    {"depends_on":[0],"checkpointing":true,"gang":true,"same_rack":true,
     "required_label":"a","data_rack":"r1-3","max_per_server":3,
     "speculative":true,"long_running":true,"fills":true,"may_miss":1,
     "target_ms":50,"image":"x","unknown":1}]})");
  ASSERT_TRUE(spec);
  EXPECT_EQ(spec->mPayload, "text");
  EXPECT_EQ(spec->mRepeatCount, 2U);
  EXPECT_EQ(spec->mFirstMs, 10);
  EXPECT_EQ(spec->mIntervalMs, 20);
  const auto& first = spec->mSteps[0];
  EXPECT_EQ(first.mCount, 4U);
  EXPECT_EQ(first.mTaskResources.mMilliCores, 500U);
  EXPECT_EQ(first.mTaskResources.mMemoryMb, 256U);
  EXPECT_EQ(first.mTaskResources.mAccelerators, 2U);
  EXPECT_EQ(first.mEstimateMs, 900U);
  const auto& second = spec->mSteps[1];
  EXPECT_EQ(second.mCount, 1U);
  EXPECT_EQ(second.mDependsOn, std::vector<std::uint32_t>{ 0 });
  EXPECT_TRUE(second.mCheckpointing && second.mGang && second.mSameRack &&
              second.mSpeculative && second.mLongRunning &&
              second.mFillsIdleCores);
  EXPECT_EQ(second.mRequiredLabel, "a");
  EXPECT_EQ(second.mDataRack.Value(), "r1-3");
  EXPECT_EQ(second.mMaxPerWorker, 3U);
  EXPECT_EQ(second.mMaxUnavailable, 1U);
  EXPECT_EQ(second.mLatencyTargetMs, 50U);
  EXPECT_EQ(second.mImage, "x");
}

TEST(CallerCalls, RefusesMalformedWorkloads)
{
  const auto callers = platform::MakeCallerProtocol();
  for (const char* body : { "",
                            "[]",
                            "{\"steps\":1}",
                            "{\"steps\":[1]}",
                            R"({"steps":[{"count":-1}]})",
                            R"({"steps":[{"gang":1}]})",
                            "{\"steps\":[" }) {
    EXPECT_FALSE(callers->DecodeWorkload(body)) << body;
  }
}

TEST(CallerCalls, StatusTellsWhetherTheWorkloadMayRun)
{
  const auto callers = platform::MakeCallerProtocol();
  WorkloadReply reply;
  const auto status = [&](CallKind aKind, WorkloadResult aResult) {
    reply.mResult = aResult;
    return callers->Render(aKind, reply).mStatus;
  };
  EXPECT_EQ(status(CallKind::Submit, WorkloadResult::Accepted), 200U);
  EXPECT_EQ(status(CallKind::Submit, WorkloadResult::Unknown), 404U);
  EXPECT_EQ(status(CallKind::Submit, WorkloadResult::Refused), 503U);
  EXPECT_EQ(status(CallKind::Submit, WorkloadResult::Uncertain), 504U);
  EXPECT_EQ(status(CallKind::Read, WorkloadResult::Unknown), 410U);
  EXPECT_EQ(status(CallKind::Cancel, WorkloadResult::Unknown), 410U);
  EXPECT_EQ(
    callers->Render(CallRefusal::UnknownKey, base::Milliseconds(3000)).mStatus,
    401U);
  EXPECT_EQ(callers->Render(CallRefusal::UnknownQueue, base::Milliseconds(3000))
              .mStatus,
            404U);
  // 504: the workload may run; 503: it does not.
  EXPECT_EQ(
    callers->Render(CallRefusal::TimedOut, base::Milliseconds(3000)).mStatus,
    504U);
  const auto notReady =
    callers->Render(CallRefusal::NotReady, base::Milliseconds(3000));
  EXPECT_EQ(notReady.mStatus, 503U);
  ASSERT_EQ(notReady.mHeaders.size(), 1U);
  EXPECT_EQ(notReady.mHeaders[0].first, "Retry-After");
}

constexpr const char* kConfig =
  R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",
  "timeout_ms":3000,"target_runtime_ms":250,"priority":0,"service":"s",
  "max_attempts":2,"slack_factor":1.5,"public":false}],
  "services":[{"name":"s"}],"limits":{"max_body_bytes":262144},
  "tenants":[{"name":"t","api_keys":["k1","k2"],"guaranteed":{"gpu":16}}]})";

TEST(OperatorCalls, ReadsAConfiguration)
{
  const auto operators = platform::MakeOperatorProtocol();
  const auto call = operators->Decode(MakeRequest("PUT", "/-/config", kConfig));
  const auto* replace = std::get_if<protocol::ReplaceCatalog>(&call);
  ASSERT_NE(replace, nullptr);
  const auto& catalog = replace->mCatalog;
  EXPECT_EQ(catalog.mVersion.Value(), 7U);
  EXPECT_EQ(catalog.mQueues[0].mSlackPermille, 1500U);
  EXPECT_EQ(catalog.mQueues[0].mMaxAttempts, 2U);
  EXPECT_EQ(catalog.mAccounts[0].mGuaranteedAccelerators, 16U);
  EXPECT_EQ(catalog.mLimits.mBodyBytes, 262144U);
  EXPECT_EQ(catalog.mSource, kConfig) << "a read returns it as it was sent";
}

TEST(OperatorCalls, RefusesAnInvalidConfiguration)
{
  const auto operators = platform::MakeOperatorProtocol();
  const std::string valid = kConfig;
  const auto replaced = [&](const std::string& aOld, const std::string& aNew) {
    auto text = valid;
    return text.replace(text.find(aOld), aOld.size(), aNew);
  };
  const std::vector<std::string> invalid = {
    valid.substr(0, valid.size() / 2),
    replaced("\"service\":\"s\"", "\"service\":\"x\""),
    replaced("\"timeout_ms\":3000", "\"timeout_ms\":0"),
    replaced("\"version\":7,", ""),
    replaced("[\"k1\",\"k2\"],\"guaranteed\":{\"gpu\":16}}",
             "[\"k1\"]},{\"name\":\"u\",\"api_keys\":[\"k1\"]}"),
  };
  for (const auto& body : invalid) {
    const auto call = operators->Decode(MakeRequest("PUT", "/-/config", body));
    const auto* response = std::get_if<transport::ServerResponse>(&call);
    ASSERT_NE(response, nullptr) << body;
    EXPECT_EQ(response->mStatus, 400U) << body;
  }
}

TEST(OperatorCalls, ReadsEvacuations)
{
  const auto operators = platform::MakeOperatorProtocol();
  for (const bool isBegin : { true, false }) {
    const auto call = operators->Decode(
      MakeRequest(isBegin ? "POST" : "DELETE", "/-/evacuate/north-1"));
    const auto* evacuation = std::get_if<protocol::SetZoneEvacuation>(&call);
    ASSERT_NE(evacuation, nullptr);
    EXPECT_EQ(evacuation->mZone.Value(), "north-1");
    EXPECT_EQ(evacuation->mEvacuated, isBegin);
  }
}

TEST(OperatorCalls, RefusesInvalidEvacuations)
{
  const auto operators = platform::MakeOperatorProtocol();
  const auto statusOf = [&](const char* aMethod, const std::string& aPath) {
    const auto call = operators->Decode(MakeRequest(aMethod, aPath));
    const auto* response = std::get_if<transport::ServerResponse>(&call);
    return response == nullptr ? 0 : response->mStatus;
  };
  EXPECT_EQ(statusOf("POST", "/-/evacuate/"), 400U);
  EXPECT_EQ(statusOf("POST", "/-/evacuate/a/b"), 400U);
  EXPECT_EQ(statusOf("POST", "/-/evacuate/%00"), 400U);
  EXPECT_EQ(statusOf("POST", "/-/evacuate/" + std::string(129, 'a')), 400U);
  EXPECT_EQ(statusOf("PUT", "/-/evacuate/a"), 405U);
  protocol::WorkloadReply unknown;
  unknown.mResult = protocol::WorkloadResult::Unknown;
  EXPECT_EQ(operators->Render(unknown).mStatus, 404U);
}

TEST(OperatorCalls, RedirectsToTheLeader)
{
  const auto response = platform::MakeOperatorProtocol()->Redirect(
    { "10.0.0.4", 8080 }, MakeRequest("GET", "/-/config"));
  EXPECT_EQ(response.mStatus, 307U);
  EXPECT_EQ(response.mHeaders[0].second, "http://10.0.0.4:8080/-/config");
}

TEST(TargetCalls, ReadsAnAnnouncement)
{
  const auto targets = platform::MakeTargetProtocol();
  const auto announced = targets->Decode(MakeRequest(
    "PUT",
    "/-/instances/i-7f3a91c2",
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v1",
    "slots":8,"state":"draining","warmup_left_ms":0,
    "capacity":{"cpu":16000,"mem_mb":32768,"gpu":8},"labels":["a","r1-3"],
    "seq":4,"born":77,"remaining_ms":900})"));
  ASSERT_TRUE(announced);
  EXPECT_EQ(announced->mTargetInfo.mTargetIncarnation.mInstance, "i-7f3a91c2");
  EXPECT_EQ(announced->mTargetInfo.mTargetIncarnation.mStartMs, 77);
  EXPECT_TRUE(announced->mTargetInfo.mLeaving);
  EXPECT_EQ(announced->mTargetInfo.mRack.Value(), "r1-3");
  EXPECT_EQ(announced->mTargetInfo.mCapacity.mAccelerators, 8U);
  EXPECT_EQ(announced->mTargetInfo.mRemainingMs, 900U);
  EXPECT_EQ(announced->mSequence, 4U);
  EXPECT_EQ(announced->mAddress.mPort, 8080);
  const auto left =
    targets->Decode(MakeRequest("DELETE", "/-/instances/i-7f3a91c2"));
  ASSERT_TRUE(left);
  EXPECT_TRUE(left->mHasLeft);
}

TEST(TargetCalls, RefusesInvalidAnnouncements)
{
  const auto targets = platform::MakeTargetProtocol();
  const std::string common =
    R"({"service":"s","zone":"z","version":"v1","slots":8,)"
    R"("warmup_left_ms":0,"labels":["a","r1-3"],"seq":4,)";
  const std::string capacity = R"("capacity":{"cpu":1,"mem_mb":1,"gpu":0})";
  const auto decode = [&](const std::string& aBody) {
    return targets->Decode(MakeRequest("PUT", "/-/instances/i-1", aBody));
  };
  EXPECT_TRUE(
    decode(common + capacity + R"(,"state":"ready","addr":"1.1.1.1:1"})"));
  for (const std::string& body :
       { std::string(),
         std::string("{"),
         std::string("{}"),
         common + capacity + R"(,"state":"gone","addr":"1.1.1.1:1"})",
         common + R"("state":"ready","capacity":1,"addr":"1.1.1.1:1"})",
         common + capacity + R"(,"state":"ready","addr":"nowhere"})" }) {
    EXPECT_FALSE(decode(body)) << body;
  }
  EXPECT_FALSE(targets->Decode(MakeRequest("PUT", "/-/instances/", "{}")));
}

TEST(TargetCalls, EncodesOrders)
{
  const auto targets = platform::MakeTargetProtocol();
  const auto start = targets->EncodeStart({ kRun, "text", "cp" },
                                          protocol::FencingToken(7),
                                          486000,
                                          kTargetIncarnation);
  EXPECT_EQ(start.mTarget, "/-/run-start");
  EXPECT_EQ(start.mBody,
            R"({"checkpoint":"cp","deadline_ms":486000,"fencing_token":7,)"
            R"("run":2,"spec":"text","task":"5c0e7a21d94b36f8.0.1.17"})");
  EXPECT_EQ(start.mHeaders.at("Dogwooddrum-Expect-Instance"), "i-7f3a91c2");
  const auto hold = targets->EncodeLeaseRenewal(
    { protocol::FencingToken(7), 57, 486000, {} }, kTargetIncarnation);
  EXPECT_EQ(hold.mBody,
            R"({"ack_cursor":57,"deadline_ms":486000,"fencing_token":7})");
}

TEST(TargetCalls, ReadsListsOfTheCalledIncarnationOnly)
{
  const auto targets = platform::MakeTargetProtocol();
  const std::string body =
    R"({"clock_ms":482113,"born":5,
    "running":[["5c0e7a21d94b36f8.0.1.17",2,"cp",41]],
    "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"lapsed",""]]})";
  const auto listing =
    targets->DecodeRunListing(MakeOutcome(200, body), kTargetIncarnation);
  ASSERT_TRUE(listing);
  EXPECT_EQ(listing->mClockMs, 482113);
  EXPECT_TRUE(listing->mRunning[0].mRun == kRun);
  EXPECT_EQ(listing->mRunning[0].mCheckpoint, "cp");
  EXPECT_EQ(listing->mEnded[0].mNumber, 58U);
  EXPECT_EQ(listing->mEnded[0].mEnd, protocol::RunEnd::Lapsed);
  EXPECT_FALSE(
    targets->DecodeRunListing(MakeOutcome(200, body), { "i-7f3a91c2", 6 }));
  EXPECT_FALSE(targets->DecodeRunListing(
    MakeOutcome(200, "{\"running\":[[1]]}"), kTargetIncarnation));
}

TEST(TargetCalls, DecodesOrderResults)
{
  const auto targets = platform::MakeTargetProtocol();
  const auto result = [&](unsigned aStatus, const char* aBody) {
    return targets->DecodeOrder(MakeOutcome(aStatus, aBody)).mResult;
  };
  EXPECT_EQ(result(200, "{}"), OrderResult::Done);
  EXPECT_EQ(result(409, R"({"reason":"fence"})"), OrderResult::StaleToken);
  EXPECT_EQ(result(409, R"({"reason":"late"})"), OrderResult::LeaseExpired);
  EXPECT_EQ(result(409, R"({"reason":"old"})"), OrderResult::Superseded);
  EXPECT_EQ(result(409, R"({"reason":"room"})"), OrderResult::Refused);
  EXPECT_EQ(result(421, ""), OrderResult::WrongInstance);
  EXPECT_EQ(result(503, ""), OrderResult::Refused);
  EXPECT_EQ(result(500, ""), OrderResult::NoAnswer);
  HttpOutcome lost(base::Failure{ base::Reason::LinkSilent, "lost" });
  lost.mMayHaveBeenSent = true;
  EXPECT_EQ(targets->DecodeOrder(lost).mResult, OrderResult::NoAnswer);
  lost.mMayHaveBeenSent = false;
  EXPECT_EQ(targets->DecodeOrder(lost).mResult, OrderResult::NotSent);
}

} // namespace
} // namespace dogwooddrum::tests
