// Parses arbitrary text as settings. Accepted settings must satisfy the
// invariants that the daemons rely on, and an error message must be one line.
#include "dogwooddrum/base/Check.h"
#include "dogwooddrum/service/Settings.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace dogwooddrum;
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  const auto settings = service::ParseSettings(text, "fuzz.ini");
  if (!settings) {
    const std::string& message = settings.LastFailure().mMessage;
    DOGWOODDRUM_INVARIANT(
      message.find("fuzz.ini") == 0 && message.find('\n') == std::string::npos,
      "message \"" + message + "\" does not name the file in one line");
    return 0;
  }
  const auto& common = settings->mCommon;
  DOGWOODDRUM_INVARIANT(!common.mName.empty() && !common.mKeyFile.empty(),
                        "a required key is empty");
  if (common.mRole == service::Role::Control) {
    const auto& peers = settings->mControl.mPeers;
    DOGWOODDRUM_INVARIANT(std::any_of(peers.begin(),
                                      peers.end(),
                                      [&](const service::Peer& aPeer) {
                                        return aPeer.mId ==
                                               settings->mControl.mMemberId;
                                      }),
                          "the member is not among its peers");
  }
  return 0;
}
