// Decodes arbitrary bytes as a consensus message and passes a decoded message
// to a member. Neither may crash, hang or allocate by a size in the input.
#include "dogwooddrum/coordination/consensus/Codec.h"

#include <cstddef>
#include <cstdint>

namespace consensus = dogwooddrum::coordination::consensus;
namespace base = dogwooddrum::base;

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  auto message = consensus::DecodeMessage(
    std::string_view(reinterpret_cast<const char*>(aData), aSize));
  if (!message) {
    return 0;
  }
  consensus::RaftOptions options;
  options.mSelf = base::MemberId(1);
  consensus::RecoveredState state;
  state.mInitialMembership.mMembers = { { base::MemberId(1), "", true },
                                        { base::MemberId(2), "", true } };
  consensus::Raft raft(options, state, base::Time());
  message->mFrom = base::MemberId(2);
  message->mTo = options.mSelf;
  raft.Receive(*message, base::Time());
  raft.TakeReady();
  return 0;
}
