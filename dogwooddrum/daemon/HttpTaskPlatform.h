/** \file
 * Defines HttpTaskPlatform, which runs tasks by calling the agent's target over
 * HTTP:
 *
 * POST /run?job=&attempt=&task=&accelerators=&lease_ms=&resume_from= with the
 * payload as body; the body of a 200 response is the answer, any other status
 * is a failure. POST /checkpoint, /throttle and /stop with job, attempt and
 * task; /checkpoint also with name. GET /usage returns {"busy_accelerators":
 * n}.
 */
#pragma once

#include "dogwooddrum/daemon/TaskPlatform.h"
#include "dogwooddrum/transport/AsyncHttpClient.h"

#include <memory>

namespace dogwooddrum::daemon {

struct HttpTaskPlatformOptions
{
  transport::Address mTarget;
  std::uint32_t mConnections = 60; ///< limit of open connections
  base::Duration mConnectTimeout = base::Milliseconds(1000);
  /** Time limit for the answer to every call except /run. */
  base::Duration mAnswerTimeout = base::Milliseconds(2000);
};

/** Runs tasks on one target over HTTP. */
class HttpTaskPlatform : public TaskPlatform
{
public:
  /** aNetwork must outlive this object. */
  HttpTaskPlatform(transport::Network& aNetwork,
                   const HttpTaskPlatformOptions& aOptions,
                   TaskEvents aEvents);
  ~HttpTaskPlatform() override;

  void Start(const coordination::agent::StartTask& aTask,
             base::Duration aLease) override;
  void Checkpoint(const coordination::agent::CheckpointTask& aTask) override;
  void Throttle(const protocol::TaskKey& aKey) override;
  void Stop(const protocol::TaskKey& aKey) override;
  void RequestUsage() override;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::daemon
