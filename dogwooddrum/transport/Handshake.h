/** \file
 * Defines the messages and proofs of the mutual challenge-response handshake
 * that opens every link.
 *
 * The connecting side sends Hello and the accepting side replies with its own
 * Hello. Then the connecting side sends Proof, and the accepting side verifies
 * that proof before it sends its own.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace dogwooddrum::transport {

/** Bytes of a handshake nonce. */
constexpr std::size_t kNonceBytes = 32;

/** Kind of process at one end of a link. */
enum class PeerRole : std::uint8_t
{
  Entry = 1,
  Control = 2,
  Agent = 3,
};

/** Identity of one end of a link; covered by the proof of that end. */
struct PeerIdentity
{
  PeerRole mRole = PeerRole::Entry;
  std::uint64_t mId = 0; ///< member id or incarnation; 0 if there is none
  std::string mName;     ///< for log events

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRole, mId, mName);
  }
};

struct Hello
{
  PeerIdentity mIdentity;
  std::string mNonce; ///< kNonceBytes random bytes

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIdentity, mNonce);
  }
};

/** End of a connection. */
enum class Side : std::uint8_t
{
  Connecting = 'c',
  Accepting = 'a',
};

/** Returns kNonceBytes random bytes. Thread safe. */
std::string
MakeNonce();

/**
 * Returns the HMAC-SHA256 under aKey over the side and both Hellos.
 * Including the side prevents reflection of a proof.
 * Thread safe.
 */
std::string
MakeProof(const std::string& aKey,
          Side aProver,
          const Hello& aConnecting,
          const Hello& aAccepting);

/** Returns whether two secrets are equal. For equal sizes the time does not
 * depend on the contents. Thread safe. */
bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight);

/** Returns the binary form of aHello. Thread safe. */
std::string
EncodeHello(const Hello& aHello);

/** Returns the Hello in aBytes, or MalformedFrame. Thread safe. */
base::Outcome<Hello>
DecodeHello(std::string_view aBytes);

} // namespace dogwooddrum::transport
