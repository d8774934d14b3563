/** \file
 * Defines the size limits of messages, in bytes and counts.
 */
#pragma once

#include <cstdint>

namespace dogwooddrum::protocol {

/** Largest payload of one frame, in bytes. */
constexpr std::uint32_t kMaxFrameBytes = 1U << 20;
/** Largest payload of one submitted job, in bytes. */
constexpr std::uint32_t kMaxJobPayloadBytes = 256U << 10;
/** Largest answer, in bytes. */
constexpr std::uint32_t kMaxAnswerBytes = 8U << 20;
/** Largest chunk of an answer, in bytes. */
constexpr std::uint32_t kMaxChunkBytes = 64U << 10;
/** Largest number of tasks in a gang. */
constexpr std::uint32_t kMaxGangTasks = 128;
/** Largest length of an account, profile, worker, key or change name. */
constexpr std::uint32_t kMaxNameBytes = 128;

} // namespace dogwooddrum::protocol
