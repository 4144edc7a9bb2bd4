# Checks one variant of a Promela specification with spin.
#   cmake -DMODEL=… -DVARIANT=… -DEXPECT=pass|fail -DFOLDER=… -P check_model.cmake
# A run that ends early, by memory or depth, is neither pass nor fail.

file(REMOVE_RECURSE ${FOLDER})
file(MAKE_DIRECTORY ${FOLDER})
execute_process(COMMAND spin -a -D${VARIANT} ${MODEL}
  WORKING_DIRECTORY ${FOLDER} COMMAND_ERROR_IS_FATAL ANY OUTPUT_QUIET)
execute_process(
  COMMAND cc -O1 -w -DSAFETY -DCOLLAPSE -DMEMLIM=1000 -o pan pan.c
  WORKING_DIRECTORY ${FOLDER} COMMAND_ERROR_IS_FATAL ANY)
# -E: a state without a next step is no fault, the processes are bounded.
execute_process(COMMAND ./pan -E -n -m1000000 WORKING_DIRECTORY ${FOLDER}
  OUTPUT_VARIABLE output)
message(${output})
if(output MATCHES "max search depth too small|out of memory|reached -DMEMLIM bound")
  message(FATAL_ERROR "the search was not complete")
endif()
if(output MATCHES "errors: 0")
  set(result pass)
elseif(output MATCHES "assertion violated" AND output MATCHES "errors: 1")
  set(result fail)
else()
  set(result none)
endif()
if(NOT result STREQUAL EXPECT)
  message(FATAL_ERROR "expected ${EXPECT}, got ${result}")
endif()
