#include "dogwooddrum/transport/Handshake.h"

#include "dogwooddrum/base/Check.h"
#include "dogwooddrum/protocol/CodecTemplates.h"
#include "dogwooddrum/protocol/Messages.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>

DOGWOODDRUM_CODEC(dogwooddrum::transport::Hello);

namespace dogwooddrum::transport {

std::string
MakeNonce()
{
  std::array<unsigned char, kNonceBytes> buf{};
  DOGWOODDRUM_INVARIANT(RAND_bytes(buf.data(), buf.size()) == 1,
                        "no random bytes for a link handshake");
  return { reinterpret_cast<const char*>(buf.data()), buf.size() };
}

std::string
MakeProof(const std::string& aKey,
          Side aProver,
          const Hello& aConnecting,
          const Hello& aAccepting)
{
  std::string input = "dogwooddrum link 1 ";
  input.push_back(static_cast<char>(aProver));
  input += protocol::Encode(aConnecting) + protocol::Encode(aAccepting);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  const auto* result =
    HMAC(EVP_sha256(),
         aKey.data(),
         static_cast<int>(aKey.size()),
         reinterpret_cast<const unsigned char*>(input.data()),
         input.size(),
         digest.data(),
         &size);
  DOGWOODDRUM_INVARIANT(result != nullptr, "HMAC-SHA256 is not available");
  return { reinterpret_cast<const char*>(digest.data()), size };
}

bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string
EncodeHello(const Hello& aHello)
{
  return protocol::Encode(aHello);
}

base::Outcome<Hello>
DecodeHello(std::string_view aBytes)
{
  auto hello = protocol::Decode<Hello>(aBytes);
  if (!hello) {
    return hello;
  }
  const auto role = static_cast<std::uint8_t>(hello->mIdentity.mRole);
  if (hello->mNonce.size() != kNonceBytes || role < 1 || role > 3 ||
      hello->mIdentity.mName.size() > protocol::kMaxNameBytes) {
    return base::Failure{ base::Reason::MalformedFrame,
                          "hello with role " + std::to_string(role) + ", " +
                            std::to_string(hello->mNonce.size()) +
                            " nonce bytes" };
  }
  return hello;
}

} // namespace dogwooddrum::transport
