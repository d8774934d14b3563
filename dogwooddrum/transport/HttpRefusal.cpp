#include "dogwooddrum/transport/HttpServer.h"

namespace dogwooddrum::transport {

namespace {

constexpr std::array<std::string_view, kHttpRefusalCount> kRefusalNames = {
  "too_many_connections",
  "connection_shed",
  "memory_shed",
  "header_too_large",
  "body_too_large",
  "framing_too_large",
  "malformed",
  "timed_out"
};

} // namespace

std::string_view
ToString(HttpRefusal aReason)
{
  return kRefusalNames.at(static_cast<std::size_t>(aReason));
}

} // namespace dogwooddrum::transport
