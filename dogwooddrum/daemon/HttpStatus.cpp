#include "dogwooddrum/daemon/HttpStatus.h"

namespace dogwooddrum::daemon {

unsigned
HttpStatusOf(base::Reason aReason)
{
  using base::Reason;
  switch (aReason) {
    case Reason::InvalidRequest:
    case Reason::UnknownAccount:
    case Reason::UnknownProfile:
    case Reason::CanNeverRun:
      return 400;
    case Reason::Unauthorized:
      return 401;
    case Reason::UnknownJob:
      return 404;
    case Reason::KeyReused:
    case Reason::VersionConflict:
    case Reason::GuaranteesDoNotFit:
    case Reason::Cancelled:
      return 409;
    case Reason::AnswerExpired:
      return 410;
    case Reason::PayloadTooLarge:
      return 413;
    case Reason::RateLimited:
    case Reason::ConcurrencyLimited:
      return 429;
    case Reason::DeadlinePassed:
      return 504;
    case Reason::QueueFull:
    case Reason::LoadShed:
    case Reason::ConfigurationStale:
    case Reason::Draining:
    case Reason::NoLeader:
      return 503;
    default:
      return 422;
  }
}

} // namespace dogwooddrum::daemon
