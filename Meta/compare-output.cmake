# Fails unless PROGRAM ends with 0 and prints what stands in COMMITTED.
execute_process(COMMAND ${PROGRAM} OUTPUT_VARIABLE printed RESULT_VARIABLE code)
file(READ ${COMMITTED} committed)
if(NOT code EQUAL 0)
  message(FATAL_ERROR "${PROGRAM} ended with ${code}")
endif()
if(NOT printed STREQUAL committed)
  message(FATAL_ERROR "${COMMITTED} is not what ${PROGRAM} prints; "
    "write its output there")
endif()
